#pragma once

#include <cstdint>
#include <string>

namespace waxwingwing {

/// The VM that makes calls which only one VM at a time may make.
struct duty_holder {
  /// Name of the VM.
  std::string name;
  /// Fencing token: the term of the controller's lease. It rises whenever the holder changes, also
  /// across a restore of the store, and no two terms have the same one.
  std::uint64_t fence = 0;

  bool operator==(const duty_holder&) const = default;
};

enum class duty_outcome {
  /// The platform has carried out the call, or had carried out the same call before.
  kAccepted,
  /// The call was not carried out.
  kRefused,
  /// The call may have been carried out, or may be later.
  kUnknown,
};

}  // namespace waxwingwing
