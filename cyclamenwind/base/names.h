// Tables of names for enum classes.
//
// A table is a constexpr array of {value, name}. nameOf() and valueOf() search
// it; tables are short, so the search is linear.

#ifndef CYCLAMENWIND_BASE_NAMES_H
#define CYCLAMENWIND_BASE_NAMES_H

#include <array>
#include <optional>
#include <string_view>

namespace cyclamenwind {

template <typename E> struct EnumName {
  E Value;
  std::string_view Name;
};

// Name of Value in Table; "invalid" if the table lacks it.
template <typename E, size_t N>
constexpr std::string_view nameIn(const std::array<EnumName<E>, N> &Table,
                                  E Value) {
  for (const EnumName<E> &Entry : Table)
    if (Entry.Value == Value)
      return Entry.Name;
  return "invalid";
}

// Value called Name in Table; nothing if the table lacks it.
template <typename E, size_t N>
constexpr std::optional<E> valueIn(const std::array<EnumName<E>, N> &Table,
                                   std::string_view Name) {
  for (const EnumName<E> &Entry : Table)
    if (Entry.Name == Name)
      return Entry.Value;
  return std::nullopt;
}

} // namespace cyclamenwind

#endif
