#include "cli/operator_arguments.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <string_view>

#include "waxwingwing/platform/ip_endpoint.h"

DEFINE_string(entry_address, "", "ip:port of entry VMs, separated by commas, tried in order");
DEFINE_bool(wait_in_force, false, "wait until every entry VM has confirmed the release note");
// A release note is to be in force everywhere within 19 s; the rest is for its verdict.
DEFINE_uint32(timeout_ms, 30000, "time-out of the whole command, in milliseconds");

namespace waxwingwing {
namespace {

constexpr const char* kEntryAddress = "entry_address";
constexpr const char* kWaitInForce = "wait_in_force";
constexpr const char* kTimeout = "timeout_ms";
constexpr const char* kFlags[] = {kEntryAddress, kWaitInForce, kTimeout};

bool IsOwnFlag(const std::string& name) {
  return std::find(std::begin(kFlags), std::end(kFlags), name) != std::end(kFlags);
}

void SetFlag(const std::string& name, const std::string& value, const std::string& place,
             finding_list& findings) {
  const std::string answer = gflags::SetCommandLineOption(name.c_str(), value.c_str());
  if (answer.empty()) findings.Add(place, "invalid value '" + value + "'");
}

void ReadEnvironment(finding_list& findings) {
  for (const std::string name : kFlags) {
    std::string variable = "WAXWINGWING_";
    for (const unsigned char letter : name) {
      variable += static_cast<char>(std::toupper(letter));
    }
    const char* value = std::getenv(variable.c_str());
    if (value != nullptr) SetFlag(name, value, variable, findings);
  }
}

/// Reads the flag at `index` and its value, which may be the next argument; advances `index` past
/// a value that was read.
void ReadFlag(const std::vector<std::string>& arguments, std::size_t& index,
              finding_list& findings) {
  const std::string& argument = arguments[index];
  const std::size_t equals = argument.find('=');
  const std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
  const std::string place = "--" + name;
  if (!IsOwnFlag(name)) return findings.Add(place, "unknown flag");
  if (equals != std::string::npos) {
    return SetFlag(name, argument.substr(equals + 1), place, findings);
  }
  if (name == kWaitInForce) return SetFlag(name, "true", place, findings);
  if (index + 1 == arguments.size()) return findings.Add(place, "has no value");
  SetFlag(name, arguments[++index], place, findings);
}

std::vector<std::string> ReadAddresses(finding_list& findings) {
  std::vector<std::string> addresses;
  std::istringstream list(FLAGS_entry_address);
  for (std::string address; std::getline(list, address, ',');) {
    const auto endpoint = ParseIpEndpoint(address);
    if (!endpoint) findings.Add("--entry_address", endpoint.reason());
    addresses.push_back(std::move(address));
  }
  if (addresses.empty()) findings.Add("--entry_address", "must be set");
  return addresses;
}

}  // namespace

operator_arguments ReadOperatorArguments(const std::vector<std::string>& arguments,
                                         finding_list& findings) {
  // Restores the flags' values on return, so that a second call starts from the defaults.
  const gflags::FlagSaver restore;
  ReadEnvironment(findings);
  operator_arguments read;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i].starts_with("--")) {
      ReadFlag(arguments, i, findings);
    } else if (read.command.empty()) {
      read.command = arguments[i];
    } else {
      read.operands.push_back(arguments[i]);
    }
  }
  read.entry_addresses = ReadAddresses(findings);
  read.wait_in_force = FLAGS_wait_in_force;
  read.timeout = milliseconds(FLAGS_timeout_ms);
  return read;
}

}  // namespace waxwingwing
