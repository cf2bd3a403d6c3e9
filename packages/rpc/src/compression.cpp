#include "compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace bulrushpitch::detail {

std::string compress(std::string_view Plain) {
  uLongf Size = compressBound(static_cast<uLong>(Plain.size()));
  std::string Result(Size, '\0');
  // Fails only for lack of memory or of room, and there is enough room.
  if (::compress(reinterpret_cast<Bytef *>(Result.data()), &Size,
                 reinterpret_cast<const Bytef *>(Plain.data()), static_cast<uLong>(Plain.size())) != Z_OK)
    return {};
  Result.resize(Size);
  return Result;
}

std::optional<std::string> expand(std::string_view Compressed, std::size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Compressed.data()));
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  std::string Expanded;
  std::array<char, 16 * 1024> Part;
  int Status = Z_OK;
  while (Status == Z_OK && Expanded.size() <= MaxBytes) {
    Stream.next_out = reinterpret_cast<Bytef *>(Part.data());
    Stream.avail_out = static_cast<uInt>(Part.size());
    Status = inflate(&Stream, Z_NO_FLUSH);
    Expanded.append(Part.data(), Part.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Status != Z_STREAM_END || Expanded.size() > MaxBytes)
    return std::nullopt;
  return Expanded;
}

} // namespace bulrushpitch::detail
