#include "bulrushpitch/client/client.h"

#include <string>
#include <vector>

int main(int Count, char **Words) {
  const std::vector<std::string> Arguments(Words + 1, Words + Count);
  return static_cast<int>(bulrushpitch::runClient(Arguments, bulrushpitch::systemHooks()));
}
