#ifndef BULRUSHPITCH_CONFIG_TESTS_SUPPORT_H
#define BULRUSHPITCH_CONFIG_TESTS_SUPPORT_H

#include "bulrushpitch/config/config.h"
#include "bulrushpitch/core/clock.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace bulrushpitch::testing {

/// @param Path below the repository's root
inline std::string readFile(const std::string &Path) {
  std::ifstream In(std::string(BULRUSHPITCH_SOURCE) + "/" + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// @return all files of examples/<User>, by name
inline std::vector<DocumentFile> exampleFiles(const std::string &User) {
  std::vector<DocumentFile> Files;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(std::string(BULRUSHPITCH_SOURCE) + "/examples/" + User)) {
    const std::string Name = Entry.path().filename();
    Files.push_back({Name, readFile("examples/" + User + "/" + Name)});
  }
  std::sort(Files.begin(), Files.end(),
            [](const DocumentFile &Left, const DocumentFile &Right) { return Left.m_File < Right.m_File; });
  return Files;
}

/// @brief Changes some values of a valid configuration at random, so that it stays valid.
inline Configuration vary(Configuration Value, std::uint64_t Seed) {
  const RandomHook Random = seededRandom(Seed);
  const auto OneOf = [&](std::uint64_t Count) { return Random() % Count == 0; };
  Value.m_Revision = ConfigRevision(Random() % 1000);
  for (auto Entry = Value.m_Upstreams.begin(); Entry != Value.m_Upstreams.end();) {
    Upstream &Object = Entry->second;
    if (OneOf(3)) {
      Object.m_Capacity = Object.m_ColdLimit + static_cast<std::uint32_t>(Random() % 50);
      Object.m_WarmUp = std::chrono::milliseconds(Random() % 100'000);
      Object.m_Draining = OneOf(2);
    }
    if (OneOf(4))
      Object.m_Versions.clear();
    Entry = OneOf(5) ? Value.m_Upstreams.erase(Entry) : std::next(Entry);
  }
  for (auto Entry = Value.m_Teams.begin(); Entry != Value.m_Teams.end();) {
    if (OneOf(3))
      Entry->second.m_Weight = static_cast<double>(1 + Random() % 1000) / 7.0;
    if (OneOf(3))
      Entry->second.m_TaskValue[TaskName("task-" + std::to_string(Random() % 5))] = 0.25;
    Entry = OneOf(4) ? Value.m_Teams.erase(Entry) : std::next(Entry);
  }
  for (std::pair<const VersionId, Version> &Entry : Value.m_Versions) {
    Entry.second.m_State = OneOf(4) ? VersionState::Withdrawn : VersionState::Active;
    Entry.second.m_PromptPrice = MicroCents(static_cast<std::int64_t>(Random() % 500));
  }
  if (OneOf(2))
    Value.m_Rollouts.clear();
  if (OneOf(2))
    Value.m_Limits.m_RetryShare = static_cast<double>(Random() % 100) / 100.0;
  for (std::uint64_t Count = Random() % 4; Count > 0; --Count)
    Value.m_Lifted.emplace_back("lifted-" + std::to_string(Random() % 100));
  return Value;
}

/// @return a random valid configuration that was made from one of the examples
inline Configuration randomConfiguration(std::uint64_t Seed) {
  static const Configuration Ampara = readDocuments(exampleFiles("ampara"), nullptr).m_Configuration;
  static const Configuration Dlazdice = readDocuments(exampleFiles("dlazdice"), nullptr).m_Configuration;
  return vary(Seed % 4 == 0 ? Dlazdice : Ampara, Seed);
}

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_CONFIG_TESTS_SUPPORT_H
