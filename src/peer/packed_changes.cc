#include <zlib.h>

#include <msgpack.hpp>

#include "waxwingwing/peer/messages.h"

namespace waxwingwing {
namespace {

using unpacked = std::vector<keyed_record_message>;

}  // namespace

packed_changes PackChanges(const unpacked& changes) {
  if (changes.empty()) return {};
  msgpack::sbuffer plain;
  msgpack::pack(plain, changes);
  packed_changes packed;
  packed.unpacked_bytes = static_cast<std::uint32_t>(plain.size());
  uLongf size = compressBound(plain.size());
  packed.bytes.resize(size);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): zlib takes unsigned bytes.
  compress(reinterpret_cast<Bytef*>(packed.bytes.data()), &size,
           reinterpret_cast<const Bytef*>(plain.data()), plain.size());  // NOLINT
  packed.bytes.resize(size);
  return packed;
}

result<unpacked> UnpackChanges(const packed_changes& packed) {
  if (packed.unpacked_bytes == 0) return unpacked();
  if (packed.unpacked_bytes > kMaxUnpackedBytes) {
    return result<unpacked>::Failure("the changes claim more bytes than the limit");
  }
  std::string plain(packed.unpacked_bytes, '\0');
  uLongf size = plain.size();
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): zlib takes unsigned bytes.
  const int done = uncompress(reinterpret_cast<Bytef*>(plain.data()), &size,
                              reinterpret_cast<const Bytef*>(packed.bytes.data()),  // NOLINT
                              packed.bytes.size());
  if (done != Z_OK || size != plain.size()) {
    return result<unpacked>::Failure("the changes cannot be decompressed");
  }
  try {
    return msgpack::unpack(plain.data(), plain.size()).get().as<unpacked>();
  } catch (const std::exception& error) {
    // msgpack-cxx reports malformed input by exceptions only.
    return result<unpacked>::Failure(error.what());
  }
}

}  // namespace waxwingwing
