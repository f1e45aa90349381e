#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace waxwingwing {

/// Prints what `GET /v1/admin/status` answered: the control offset, then one line for each row.
void PrintStatus(const nlohmann::json& status, std::ostream& out);
/// Prints the findings and conflicts of a rejected release note.
void PrintRejection(const nlohmann::json& verdict, std::ostream& err);
/// Prints one line for each failure domain with the number of entry VMs that confirmed.
void PrintInForce(const nlohmann::json& verdict, std::ostream& out);
/// Whether every known entry VM of every failure domain has confirmed.
bool IsInForce(const nlohmann::json& verdict);

/// A text member of an object; empty when it is missing or no text.
std::string TextMember(const nlohmann::json& object, const char* key);
/// A member of an object; null when it is missing.
const nlohmann::json& Member(const nlohmann::json& object, const char* key);

}  // namespace waxwingwing
