#include "stand_ins/record_store.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace waxwingwing::stand_ins {

std::int64_t MonotonicMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

record_store::record_store(const std::string& file_name) {
  if (file_name.empty()) return;
  file_.open(file_name, std::ios::app);
  if (!file_) throw std::runtime_error("cannot open " + file_name);
}

std::size_t record_store::Add(const std::string& list, nlohmann::json record) {
  nlohmann::json& records = lists_[list];
  records.push_back(std::move(record));
  const std::size_t index = records.size() - 1;
  WriteLine(list, index);
  return index;
}

void record_store::Update(const std::string& list, std::size_t index,
                          const nlohmann::json& fields) {
  lists_[list][index].update(fields);
  WriteLine(list, index);
}

void record_store::WriteLine(const std::string& list, std::size_t index) {
  if (!file_.is_open()) return;
  const nlohmann::json line = {{"list", list}, {"index", index}, {"record", lists_[list][index]}};
  file_ << line.dump() << '\n' << std::flush;
}

}  // namespace waxwingwing::stand_ins
