#include "detail/completion.h"

#include <CLI/CLI.hpp>

namespace bulrushpitch::detail {

namespace {

std::string optionWords(const CLI::App &Command) {
  std::string Words;
  for (const CLI::Option *Each : Command.get_options())
    for (const std::string &Name : Each->get_lnames())
      Words += " --" + Name;
  return Words;
}

std::string commandWords(const CLI::App &Command) {
  std::string Words;
  for (const CLI::App *Each : Command.get_subcommands([](const CLI::App *) { return true; }))
    Words += " " + Each->get_name();
  return Words;
}

void addCases(const CLI::App &Command, const std::string &Path, const std::string &Common, std::string &Out) {
  Out += "    \"" + Path + "\") words=\"" + commandWords(Command) + optionWords(Command) + Common + "\" ;;\n";
  for (const CLI::App *Each : Command.get_subcommands([](const CLI::App *) { return true; }))
    addCases(*Each, Path + " " + Each->get_name(), optionWords(Command) + Common, Out);
}

} // namespace

std::string completionScript(const CLI::App &Program) {
  std::string Cases;
  addCases(Program, "", "", Cases);
  std::string Commands = commandWords(Program);
  for (const CLI::App *Each : Program.get_subcommands([](const CLI::App *) { return true; }))
    Commands += commandWords(*Each);
  return "# Completion of bulrushpitch for bash. Load with: source <(bulrushpitch completion)\n"
         "_bulrushpitch() {\n"
         "  local path=\"\" word words=\"\" commands=\" " +
         Commands +
         " \"\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    [[ $commands == *\" $word \"* ]] && path+=\" $word\"\n"
         "  done\n"
         "  case \"$path\" in\n" +
         Cases +
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "complete -o default -F _bulrushpitch bulrushpitch\n";
}

} // namespace bulrushpitch::detail
