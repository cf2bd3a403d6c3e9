#include "detail/yaml_tree.h"

#include <exception>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace bulrushpitch::detail {

namespace {

// A set for 600 upstreams has less than 1 MB.
constexpr std::size_t MaxTextBytes = 16 * 1024UL * 1024UL;

Json scalarValue(const std::string &Tag, const std::string &Text) {
  if (Tag != "?")
    return Text;
  if (Text == "true" || Text == "false")
    return Text == "true";
  const bool MayBeNumber = !Text.empty() && (Text[0] == '-' || (Text[0] >= '0' && Text[0] <= '9'));
  if (MayBeNumber) {
    Json Number = Json::parse(Text, nullptr, false);
    if (Number.is_number())
      return Number;
  }
  return Text;
}

/// @brief Builds documents from parser events.
class TreeBuilder : public YAML::EventHandler {
public:
  TreeBuilder(YamlOutcome &Out, const std::string &File) : m_Out(Out), m_File(File) {}

  void OnDocumentStart(const YAML::Mark &Position) override {
    // At a token that no document can start with, such as a lone comma, yaml-cpp reports empty documents for
    // ever without reading on.
    if (Position.pos == m_LastStart)
      throw YAML::ParserException(Position, "unexpected token");
    m_LastStart = Position.pos;
    m_Document = YamlDocument();
    m_Document.m_Lines[""] = line(Position);
    m_Open.clear();
  }
  void OnDocumentEnd() override {
    if (!m_Document.m_Value.is_null())
      m_Out.m_Documents.push_back(std::move(m_Document));
  }
  void OnNull(const YAML::Mark &Position, YAML::anchor_t) override { add(Position, Json()); }
  void OnAlias(const YAML::Mark &Position, YAML::anchor_t) override {
    addFault(Position, "aliases are not allowed; write the value out");
    add(Position, Json());
  }
  void OnScalar(const YAML::Mark &Position, const std::string &Tag, YAML::anchor_t,
                const std::string &Text) override {
    if (!m_Open.empty() && m_Open.back().m_Map && !m_Open.back().m_HasKey)
      setKey(Position, Text);
    else
      add(Position, scalarValue(Tag, Text));
  }
  void OnSequenceStart(const YAML::Mark &Position, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {
    open(Position, Json::array());
  }
  void OnSequenceEnd() override { close(); }
  void OnMapStart(const YAML::Mark &Position, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    open(Position, Json::object());
  }
  void OnMapEnd() override { close(); }

private:
  struct Level {
    Json m_Value;
    bool m_Map = false;
    bool m_HasKey = false;
    std::string m_Key;
    std::string m_Path; ///< Of this map or list.
  };

  static unsigned line(const YAML::Mark &Position) { return static_cast<unsigned>(Position.line + 1); }

  void addFault(const YAML::Mark &Position, std::string Message) {
    Fault Found;
    Found.m_Code = ErrorCode::DocumentSyntax;
    Found.m_File = m_File;
    Found.m_Line = line(Position);
    Found.m_Message = std::move(Message);
    m_Out.m_Faults.push_back(std::move(Found));
  }

  void setKey(const YAML::Mark &Position, const std::string &Key) {
    Level &Top = m_Open.back();
    if (Top.m_Value.contains(Key))
      addFault(Position, "the key '" + Key + "' occurs twice");
    Top.m_Key = Key;
    Top.m_HasKey = true;
    m_Document.m_Lines.emplace(childPath(), line(Position));
  }

  std::string childPath() const {
    if (m_Open.empty())
      return "";
    const Level &Top = m_Open.back();
    const std::string Segment = Top.m_Map ? Top.m_Key : std::to_string(Top.m_Value.size());
    return Top.m_Path.empty() ? Segment : Top.m_Path + "." + Segment;
  }

  void open(const YAML::Mark &Position, Json Empty) {
    Level Opened;
    Opened.m_Path = childPath();
    Opened.m_Map = Empty.is_object();
    Opened.m_Value = std::move(Empty);
    m_Document.m_Lines.emplace(Opened.m_Path, line(Position));
    if (!m_Open.empty() && m_Open.back().m_Map && !m_Open.back().m_HasKey) {
      addFault(Position, "a key must be a plain name");
      m_Open.back().m_HasKey = true;
      m_Open.back().m_Key.assign(1, '?');
    }
    m_Open.push_back(std::move(Opened));
  }

  void close() {
    Json Value = std::move(m_Open.back().m_Value);
    m_Open.pop_back();
    put(std::move(Value));
  }

  void add(const YAML::Mark &Position, Json Value) {
    if (!m_Open.empty() && m_Open.back().m_Map && !m_Open.back().m_HasKey)
      return setKey(Position, "");
    m_Document.m_Lines.emplace(childPath(), line(Position));
    put(std::move(Value));
  }

  void put(Json Value) {
    if (m_Open.empty()) {
      m_Document.m_Value = std::move(Value);
      return;
    }
    Level &Top = m_Open.back();
    if (Top.m_Map)
      Top.m_Value[Top.m_Key] = std::move(Value);
    else
      Top.m_Value.push_back(std::move(Value));
    Top.m_HasKey = false;
  }

  YamlOutcome &m_Out;
  const std::string &m_File;
  YamlDocument m_Document;
  std::vector<Level> m_Open;
  int m_LastStart = -1; ///< Position of the latest document.
};

Fault syntaxFault(const std::string &File, unsigned Line, std::string Message) {
  Fault Found;
  Found.m_Code = ErrorCode::DocumentSyntax;
  Found.m_File = File;
  Found.m_Line = Line;
  Found.m_Message = std::move(Message);
  return Found;
}

} // namespace

unsigned YamlDocument::lineOf(std::string Path) const {
  for (;;) {
    const auto Found = m_Lines.find(Path);
    if (Found != m_Lines.end())
      return Found->second;
    if (Path.empty())
      return 0;
    const std::size_t Dot = Path.rfind('.');
    Path.resize(Dot == std::string::npos ? 0 : Dot);
  }
}

YamlOutcome readYaml(std::string_view Text, const std::string &File) {
  YamlOutcome Out;
  if (Text.size() > MaxTextBytes) {
    Out.m_Faults.push_back(syntaxFault(File, 0, "the file is larger than 16 MB"));
    return Out;
  }
  std::istringstream In{std::string(Text)};
  TreeBuilder Builder(Out, File);
  try {
    YAML::Parser Parser(In);
    while (Parser.HandleNextDocument(Builder))
      continue;
  } catch (const YAML::Exception &Problem) {
    const unsigned Line = Problem.mark.is_null() ? 0 : static_cast<unsigned>(Problem.mark.line + 1);
    Out.m_Faults.push_back(syntaxFault(File, Line, "is not valid YAML: " + Problem.msg));
  } catch (const std::exception &Problem) {
    Out.m_Faults.push_back(syntaxFault(File, 0, std::string("is not valid YAML: ") + Problem.what()));
  }
  return Out;
}

std::vector<Fault> locateFaults(const FaultSink &Sink, const YamlDocument &Document,
                                const std::string &File) {
  std::vector<Fault> Located = Sink.faults();
  for (Fault &Found : Located) {
    Found.m_File = File;
    Found.m_Line = Document.lineOf(Found.m_Field);
  }
  return Located;
}

Fault documentCountFault(const std::string &File, std::size_t Documents) {
  Fault Found;
  Found.m_Code = ErrorCode::DocumentSyntax;
  Found.m_File = File;
  Found.m_Message = "must hold one YAML document, has " + std::to_string(Documents);
  return Found;
}

} // namespace bulrushpitch::detail
