#include "entry/operators_transfer.h"

#include <utility>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Bytes of a part; other messages to the same VM go out between two parts.
constexpr std::size_t kPartBytes = std::size_t{64} * 1024;

/// Hash of the records, which shows that they are still those that were read from the store.
std::uint64_t Checksum(const std::vector<keyed_record_message>& records) {
  std::uint64_t sum = StableHash({}, records.size());
  for (const keyed_record_message& record : records) {
    sum = StableHash(record.key, sum);
    sum = StableHash(record.value.value_or(std::string()), sum + (record.value ? 1 : 0));
  }
  return sum;
}

bool IsSameUpdate(const operators_records_message& left, const operators_records_message& right) {
  return left.era == right.era && left.from == right.from && left.next == right.next &&
         left.checksum == right.checksum && left.parts == right.parts;
}

result<operators_update> Unpack(const operators_records_message& whole) {
  using failed = result<operators_update>;
  const auto records = UnpackChanges({whole.unpacked_bytes, whole.bytes});
  if (!records) return failed::Failure(records.reason());
  if (Checksum(*records) != whole.checksum) return failed::Failure("the records were altered");
  const store_era era(whole.era);
  operators_update update;
  if (whole.from) update.from = store_position{era, *whole.from};
  update.next = {era, whole.next};
  for (const keyed_record_message& record : *records) {
    update.records.push_back({record.key, record.value});
  }
  return update;
}

}  // namespace

result<std::vector<operators_records_message>> ToMessages(const operators_update& update) {
  using failed = result<std::vector<operators_records_message>>;
  std::vector<keyed_record_message> records;
  records.reserve(update.records.size());
  for (const store_record& record : update.records) records.push_back({record.key, record.value});
  const packed_changes packed = PackChanges(records);
  if (packed.unpacked_bytes > kMaxUnpackedBytes)
    return failed::Failure("the records are too large");
  operators_records_message message;
  message.era = update.next.era.get();
  if (update.from) message.from = update.from->offset;
  message.next = update.next.offset;
  message.checksum = Checksum(records);
  message.unpacked_bytes = packed.unpacked_bytes;
  message.parts = static_cast<std::uint32_t>(packed.bytes.size() / kPartBytes + 1);
  std::vector<operators_records_message> messages;
  messages.reserve(message.parts);
  for (message.part = 0; message.part < message.parts; ++message.part) {
    message.bytes = packed.bytes.substr(message.part * kPartBytes, kPartBytes);
    messages.push_back(message);
  }
  return messages;
}

std::optional<result<operators_update>> operators_assembly::Add(
    const operators_records_message& part) {
  if (part.part == 0) {
    begun_ = part;
    parts_ = 1;
  } else if (begun_ && IsSameUpdate(*begun_, part) && part.part == parts_) {
    begun_->bytes += part.bytes;
    ++parts_;
  } else {
    begun_.reset();
    return std::nullopt;
  }
  if (parts_ < begun_->parts) return std::nullopt;
  const operators_records_message whole = *std::move(begun_);
  begun_.reset();
  return Unpack(whole);
}

}  // namespace waxwingwing
