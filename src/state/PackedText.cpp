#include "damasklink/state/PackedText.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// The library's own default: higher levels save a few percent and take several times as long.
constexpr int kLevel = 3;

// Bounds of the library for the span in which it looks for what it has seen before.
constexpr int kLeastWindowLog = 10;
constexpr int kMostWindowLog = 27;

struct FreeContext
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

// The base must lie within the span, or what stands at its beginning is not found again.
int
WindowLog(std::size_t aBytes)
{
  return std::clamp(static_cast<int>(std::bit_width(aBytes)), kLeastWindowLog, kMostWindowLog);
}

auto
Damaged(std::string_view aWhat)
{
  return Fail(ErrorKind::Corrupt,
              Concat("a packed text cannot be read: ", aWhat),
              "ask for the whole text; run the same program version on all hosts");
}

} // namespace

std::string
PackText(std::string_view aText, std::string_view aBase)
{
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  // Tells a text that was unpacked with another base from the right one.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!aBase.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(aText.size() + aBase.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  }
  std::string packed(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t length =
    ZSTD_compress2(context.get(), packed.data(), packed.size(), aText.data(), aText.size());
  // Nothing else can fail with a buffer of this size; an empty result is refused by UnpackText().
  packed.resize(ZSTD_isError(length) != 0 ? 0 : length);
  return packed;
}

Result<std::string>
UnpackText(std::string_view aPacked, std::string_view aBase, std::size_t aMostBytes)
{
  const unsigned long long bytes = ZSTD_getFrameContentSize(aPacked.data(), aPacked.size());
  if (bytes == ZSTD_CONTENTSIZE_ERROR || bytes == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Damaged("it does not tell its length");
  }
  if (bytes > aMostBytes) {
    return Damaged(Concat("its length of ", bytes, " bytes is over the limit"));
  }
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  if (!aBase.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  }
  std::string text(bytes, '\0');
  const std::size_t length =
    ZSTD_decompressDCtx(context.get(), text.data(), text.size(), aPacked.data(), aPacked.size());
  if (ZSTD_isError(length) != 0) {
    return Damaged(ZSTD_getErrorName(length));
  }
  if (length != text.size()) {
    return Damaged("it is shorter than it tells");
  }
  return text;
}

} // namespace damasklink
