#include "entry/forward_limits.h"

#include <malloc.h>

#include <algorithm>

namespace waxwingwing {
namespace {

/// Fraction of the memory that may be held for callers. Growing a body holds it twice for a moment,
/// and freed memory is not always usable for bodies of another size.
constexpr std::uint64_t kMemoryDivisor = 4;
/// The same for responses that are buffered until they are whole.
constexpr std::uint64_t kBufferDivisor = 8;
/// Least bound, so that a single body within the default limit of 4 MiB is served on any VM.
constexpr byte_count kMinIngressBytes{std::uint64_t{16} << 20U};
/// Blocks of this size, in bytes, or more go back to the system when they are freed. The allocator
/// would otherwise raise the size by itself and keep freed bodies of callers.
constexpr int kReturnedBlockSize = 128 * 1024;
/// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;
/// Fraction of the sockets that callers may use; the others are for backend servers, the store and
/// the other VMs.
constexpr double kCallerFraction = 0.65;
/// The same for the port of readiness and metrics.
constexpr double kReadinessFraction = 0.05;
constexpr std::size_t kMaxReadinessConnections = 32;
/// The same for connections of other VMs. All VMs of a deployment may connect to one.
constexpr double kPeerFraction = 0.15;
/// Fraction of the memory for other VMs' messages that have not arrived whole.
constexpr std::uint64_t kUnfinishedFramesDivisor = 16;
constexpr byte_count kMinUnfinishedFrames{std::uint64_t{4} << 20U};

/// A fraction of the descriptors that sockets may use, at most `limit`; `limit` when the settings
/// do not state the number of descriptors.
std::size_t PartOfSockets(const entry_settings& settings, double fraction, std::size_t limit) {
  if (settings.max_descriptors <= kFileDescriptors) return limit;
  const auto sockets = static_cast<double>(settings.max_descriptors - kFileDescriptors);
  return std::clamp(static_cast<std::size_t>(sockets * fraction), std::size_t{1}, limit);
}

}  // namespace

void ReturnFreedBlocks() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockSize);
#endif
}

forward_options ForwardOptions(const entry_settings& settings) {
  forward_options options;
  if (settings.memory.get() > 0) {
    options.ingress.total =
        std::max(byte_count(settings.memory.get() / kMemoryDivisor), kMinIngressBytes);
    options.max_buffered_bytes =
        std::clamp<std::size_t>(settings.memory.get() / kBufferDivisor, options.max_response_bytes,
                                options.max_buffered_bytes);
  }
  options.max_callers = PartOfSockets(settings, kCallerFraction, options.max_callers);
  return options;
}

std::size_t MaxReadinessConnections(const entry_settings& settings) {
  return PartOfSockets(settings, kReadinessFraction, kMaxReadinessConnections);
}

void LimitPeers(const entry_settings& settings, peer_settings& peers) {
  peers.max_accepted = PartOfSockets(settings, kPeerFraction, peers.max_accepted);
  if (settings.memory.get() == 0) return;
  peers.unfinished_frames.total =
      std::max(byte_count(settings.memory.get() / kUnfinishedFramesDivisor), kMinUnfinishedFrames);
}

}  // namespace waxwingwing
