#include "tests/integration/vm_records.h"

#include <fstream>

namespace waxwingwing::integration {

nlohmann::json vm_records::List(const std::string& name) const {
  return lists.value(name, nlohmann::json::array());
}

std::optional<std::int64_t> vm_records::SilentSince(std::int64_t at_us) const {
  if (ended_at_us.has_value() && *ended_at_us <= at_us) return ended_at_us;
  for (const child_process::pause& pause : pauses) {
    if (pause.from_us <= at_us && (pause.to_us == 0 || at_us < pause.to_us)) return pause.from_us;
  }
  std::optional<std::int64_t> frozen_since;
  for (const nlohmann::json& fault : List("faults")) {
    if (fault.at("at_us").get<std::int64_t>() > at_us) break;
    if (!fault.at("faults").contains("freeze")) continue;
    const bool freeze = fault.at("faults").at("freeze").get<bool>();
    if (!freeze) frozen_since.reset();
    if (freeze && !frozen_since.has_value()) frozen_since = fault.at("at_us").get<std::int64_t>();
  }
  return frozen_since;
}

nlohmann::json ReadRecordsFile(const std::filesystem::path& file) {
  nlohmann::json lists = nlohmann::json::object();
  std::ifstream stream(file);
  for (std::string text; std::getline(stream, text);) {
    // A kill may have cut the last line.
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    if (line.is_discarded()) continue;
    nlohmann::json& list = lists[line.at("list").get<std::string>()];
    list[line.at("index").get<std::size_t>()] = line.at("record");
  }
  return lists;
}

}  // namespace waxwingwing::integration
