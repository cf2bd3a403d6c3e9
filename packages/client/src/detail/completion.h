#ifndef BULRUSHPITCH_CLIENT_DETAIL_COMPLETION_H
#define BULRUSHPITCH_CLIENT_DETAIL_COMPLETION_H

#include <string>

namespace CLI {
class App;
}

namespace bulrushpitch::detail {

/// @return a bash script that completes the commands and options of the program
std::string completionScript(const CLI::App &Program);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CLIENT_DETAIL_COMPLETION_H
