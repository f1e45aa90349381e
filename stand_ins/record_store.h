#pragma once

#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace waxwingwing::stand_ins {

/// `CLOCK_MONOTONIC` in microseconds; comparable between the processes of one machine.
std::int64_t MonotonicMicros();

/// Records of what a stand-in was asked to do, for tests to read: named lists of JSON objects.
///
/// With a file name, each change is also appended to the file as `{"list":S,"index":N,"record":O}`;
/// a later line for the same record replaces the earlier one.
class record_store {
 public:
  explicit record_store(const std::string& file_name);
  record_store(const record_store&) = delete;
  record_store& operator=(const record_store&) = delete;

  /// Appends a record and returns its index in the list.
  std::size_t Add(const std::string& list, nlohmann::json record);
  /// Adds or replaces fields of a record.
  void Update(const std::string& list, std::size_t index, const nlohmann::json& fields);

  const nlohmann::json& lists() const { return lists_; }

 private:
  void WriteLine(const std::string& list, std::size_t index);

  nlohmann::json lists_ = nlohmann::json::object();
  std::ofstream file_;
};

}  // namespace waxwingwing::stand_ins
