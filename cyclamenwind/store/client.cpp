#include "cyclamenwind/store/client.h"

#include "cyclamenwind/base/names.h"

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<PlatformError>, 10> ErrorNames = {{
    {PlatformError::NotFound, "not_found"},
    {PlatformError::Conflict, "conflict"},
    {PlatformError::TooLarge, "too_large"},
    {PlatformError::Overloaded, "overloaded"},
    {PlatformError::BudgetExhausted, "budget_exhausted"},
    {PlatformError::Unreachable, "unreachable"},
    {PlatformError::WatchGap, "watch_gap"},
    {PlatformError::NoAnswer, "no_answer"},
    {PlatformError::Restored, "restored"},
    {PlatformError::Malformed, "malformed"},
}};

} // namespace

std::string_view nameOf(PlatformError Error) {
  return nameIn(ErrorNames, Error);
}

} // namespace cyclamenwind
