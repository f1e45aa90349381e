#include "entry/operators_snapshot.h"

namespace waxwingwing {

void operators_snapshot::Replace(const std::vector<store_record>& records, store_position next) {
  records_.clear();
  listed_at_ = next;
  Add(records, next);
}

void operators_snapshot::Add(const std::vector<store_record>& records, store_position next) {
  next_ = next;
  for (const store_record& record : records) records_[record.key] = {record.value, next.offset};
}

void operators_snapshot::Clear() {
  records_.clear();
  listed_at_.reset();
}

std::optional<operators_update> operators_snapshot::Since(
    const std::optional<store_position>& place) const {
  if (!listed_at_ || (place && *place >= next_)) return std::nullopt;
  operators_update update;
  update.next = next_;
  const bool is_complete = !place || *place < *listed_at_;
  if (!is_complete) update.from = place;
  for (const auto& [key, known] : records_) {
    const bool is_needed =
        is_complete ? known.value.has_value() : known.changed_until > place->offset;
    if (is_needed) update.records.push_back({key, known.value});
  }
  return update;
}

}  // namespace waxwingwing
