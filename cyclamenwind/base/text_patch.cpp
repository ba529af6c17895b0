#include "cyclamenwind/base/text_patch.h"

#include "cyclamenwind/base/log.h"

#include <bit>
#include <memory>

#include <zstd.h>

namespace cyclamenwind {
namespace {

// The fastest of zstd's regular levels.
constexpr int CompressionLevel = 1;

struct FreeCompressor {
  void operator()(ZSTD_CCtx *Context) const { ZSTD_freeCCtx(Context); }
};
struct FreeDecompressor {
  void operator()(ZSTD_DCtx *Context) const { ZSTD_freeDCtx(Context); }
};

} // namespace

std::string makePatch(std::string_view Base, std::string_view Text) {
  std::unique_ptr<ZSTD_CCtx, FreeCompressor> Context(ZSTD_createCCtx());
  // The window must cover Base and Text together, so that the end of Text can
  // refer to the start of Base.
  int WindowLog =
      std::max<int>(ZSTD_cParam_getBounds(ZSTD_c_windowLog).lowerBound,
                    std::bit_width(Base.size() + Text.size()));
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog, WindowLog);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Patch(ZSTD_compressBound(Text.size()), '\0');
  size_t Size = ZSTD_compress2(Context.get(), Patch.data(), Patch.size(),
                               Text.data(), Text.size());
  if (ZSTD_isError(Size) != 0U) {
    logWarning("patch_not_made",
               {{"error", ZSTD_getErrorName(Size)}, {"bytes", Text.size()}});
    return "";
  }
  Patch.resize(Size);
  Patch.shrink_to_fit();
  return Patch;
}

std::optional<std::string> applyPatch(std::string_view Base,
                                      std::string_view Patch, size_t MaxBytes) {
  unsigned long long Bytes =
      ZSTD_getFrameContentSize(Patch.data(), Patch.size());
  if (Bytes == ZSTD_CONTENTSIZE_ERROR || Bytes == ZSTD_CONTENTSIZE_UNKNOWN ||
      Bytes > MaxBytes)
    return std::nullopt;
  std::unique_ptr<ZSTD_DCtx, FreeDecompressor> Context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Text(Bytes, '\0');
  size_t Size = ZSTD_decompressDCtx(Context.get(), Text.data(), Text.size(),
                                    Patch.data(), Patch.size());
  if (ZSTD_isError(Size) != 0U || Size != Text.size())
    return std::nullopt;
  return Text;
}

} // namespace cyclamenwind
