#include "cli/operator_report.h"

#include <algorithm>

#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr const char* kStatusSections[] = {"replicas", "services", "nodes",
                                           "leases",   "refusals", "retries"};
constexpr const char* kFirstMembers[] = {"id", "vm", "service", "failure_domain"};

/// Replaces control characters, which could change the state of the terminal.
std::string Printable(std::string text) {
  const auto is_control = [](unsigned char character) { return character < 0x20; };
  std::replace_if(text.begin(), text.end(), is_control, '?');
  return text;
}

std::string ValueText(const json& value) {
  if (value.is_string()) return Printable(value.get<std::string>());
  if (!value.is_array()) return Printable(PrintJson(value));
  std::string text;
  for (const json& element : value) {
    if (!text.empty()) text += ",";
    text += ValueText(element);
  }
  return text;
}

void PrintRow(const json& row, std::ostream& out) {
  out << " ";
  if (!row.is_object()) {
    out << " " << ValueText(row) << "\n";
    return;
  }
  json rest = row;
  for (const char* key : kFirstMembers) {
    if (!rest.contains(key)) continue;
    out << " " << key << "=" << ValueText(rest[key]);
    rest.erase(key);
  }
  for (const auto& [key, value] : rest.items()) {
    out << " " << Printable(key) << "=" << ValueText(value);
  }
  out << "\n";
}

void PrintSection(const std::string& title, const json& rows, std::ostream& out) {
  if (rows.is_null() || (rows.is_structured() && rows.empty())) return;
  out << title << ":\n";
  if (!rows.is_array()) return PrintRow(rows, out);
  for (const json& row : rows) PrintRow(row, out);
}

std::uint64_t NumberMember(const json& object, const char* key) {
  const json& value = Member(object, key);
  return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

}  // namespace

const json& Member(const json& object, const char* key) {
  static const json kNull;
  if (!object.is_object()) return kNull;
  const auto found = object.find(key);
  return found == object.end() ? kNull : *found;
}

std::string TextMember(const json& object, const char* key) {
  const json& value = Member(object, key);
  return value.is_string() ? Printable(value.get<std::string>()) : "";
}

void PrintStatus(const json& status, std::ostream& out) {
  out << "control_offset: " << ValueText(Member(status, "control_offset")) << "\n";
  const json& configuration = Member(status, "configuration");
  if (configuration.is_object()) {
    for (const auto& [kind, objects] : configuration.items()) {
      PrintSection(Printable(kind), objects, out);
    }
  }
  for (const char* section : kStatusSections) {
    PrintSection(section, Member(status, section), out);
  }
}

void PrintRejection(const json& verdict, std::ostream& err) {
  for (const json& item : Member(verdict, "findings")) {
    err << TextMember(item, "place") << ": " << TextMember(item, "message") << "\n";
  }
  for (const json& item : Member(verdict, "conflicts")) {
    err << TextMember(item, "place") << ": conflict: " << TextMember(item, "object")
        << " was changed by revision " << ValueText(Member(item, "revision")) << "\n";
  }
  const json& error = Member(verdict, "error");
  if (error.is_object()) err << TextMember(error, "message") << "\n";
}

void PrintInForce(const json& verdict, std::ostream& out) {
  for (const json& row : Member(verdict, "in_force")) {
    const std::uint64_t nodes = NumberMember(row, "nodes");
    const std::uint64_t confirmed = NumberMember(row, "confirmed");
    out << "  " << TextMember(row, "failure_domain") << ": ";
    if (nodes == 0) {
      out << "no entry VM is known\n";
      continue;
    }
    out << confirmed << " of " << nodes << " entry VMs confirmed"
        << (confirmed < nodes ? ", NOT CONFIRMED" : "") << "\n";
  }
}

bool IsInForce(const json& verdict) {
  const json& rows = Member(verdict, "in_force");
  if (!rows.is_array() || rows.empty()) return false;
  return std::all_of(rows.begin(), rows.end(), [](const json& row) {
    return row.is_object() && NumberMember(row, "confirmed") >= NumberMember(row, "nodes");
  });
}

}  // namespace waxwingwing
