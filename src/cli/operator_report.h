#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace waxwingwing {

/// Prints the response to `GET /v1/admin/status`: the control offset, then one line for each row.
void PrintStatus(const nlohmann::json& status, std::ostream& out);
/// Prints the findings, conflicts and the error message of a rejected release note.
void PrintRejection(const nlohmann::json& verdict, std::ostream& err);
/// Prints for each failure domain how many of its entry VMs have confirmed the release note.
void PrintInForce(const nlohmann::json& verdict, std::ostream& out);
/// Whether every known entry VM of every failure domain has confirmed the release note.
bool IsInForce(const nlohmann::json& verdict);

/// Returns a string member of a JSON object without control characters; empty when it is missing
/// or no string.
std::string TextMember(const nlohmann::json& object, const char* key);
/// Returns a member of a JSON object; null when it is missing.
const nlohmann::json& Member(const nlohmann::json& object, const char* key);

}  // namespace waxwingwing
