#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Inclusive range of a numeric member; ignored for members of other types.
struct number_range {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max();
};

/// JSON path of a value, and the list to which findings about it are added.
struct value_context {
  std::string place;
  number_range range;
  finding_list& findings;
};

inline constexpr std::size_t kMaxIdLength = 128;
inline constexpr std::size_t kMaxTextLength = 256;

/// JSON path of a member below `place`; long names are truncated.
std::string MemberPlace(const std::string& place, const std::string& name);
std::string ElementPlace(const std::string& place, std::size_t index);

/// Each reader stores a valid value in `out`; otherwise it adds a finding.
bool ReadNumber(const nlohmann::json& value, const value_context& context, std::uint64_t& out);
/// Reads an id of 1 to 128 characters out of letters, digits and `._:@-`, so that they need no
/// escaping in paths and headers.
bool ReadIdText(const nlohmann::json& value, const value_context& context, std::string& out);

void ReadValue(const nlohmann::json& value, const value_context& context, std::string& out);
void ReadValue(const nlohmann::json& value, const value_context& context, bool& out);
void ReadValue(const nlohmann::json& value, const value_context& context, std::uint32_t& out);
void ReadValue(const nlohmann::json& value, const value_context& context, request_count& out);
void ReadValue(const nlohmann::json& value, const value_context& context, byte_count& out);
void ReadValue(const nlohmann::json& value, const value_context& context, token_count& out);
void ReadValue(const nlohmann::json& value, const value_context& context, milliseconds& out);
void ReadValue(const nlohmann::json& value, const value_context& context, domain_state& out);
void ReadValue(const nlohmann::json& value, const value_context& context, cut_off_policy& out);
void ReadValue(const nlohmann::json& value, const value_context& context,
               std::vector<failure_domain_id>& out);

nlohmann::json WriteValue(const std::string& value);
nlohmann::json WriteValue(bool value);
nlohmann::json WriteValue(std::uint32_t value);
nlohmann::json WriteValue(request_count value);
nlohmann::json WriteValue(byte_count value);
nlohmann::json WriteValue(token_count value);
nlohmann::json WriteValue(milliseconds value);
nlohmann::json WriteValue(domain_state value);
nlohmann::json WriteValue(cut_off_policy value);
nlohmann::json WriteValue(const std::vector<failure_domain_id>& value);

}  // namespace waxwingwing
