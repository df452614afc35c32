/// \file
/// Strong types for identifiers: two ids of different kinds never compare or convert.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace dewbeam {

/// A value of type `Rep` that belongs to the kind `Tag`.
///
/// Construction is explicit and there is no arithmetic; `value()` gives the raw value at the rim.
///
/// \code
/// using rank_id = strong<struct rank_tag, std::uint32_t>;
/// rank_id coordinator{0};
/// \endcode
template <class Tag, class Rep>
class strong {
public:
    using rep = Rep;

    constexpr strong() = default;
    constexpr explicit strong(Rep value) : m_value(std::move(value)) {}

    [[nodiscard]] constexpr const Rep& value() const { return m_value; }

    friend constexpr auto operator<=>(const strong&, const strong&) = default;

private:
    Rep m_value{};
};

}  // namespace dewbeam

/// Lets a strong id be a key of the unordered containers.
template <class Tag, class Rep>
struct std::hash<dewbeam::strong<Tag, Rep>> {
    std::size_t operator()(const dewbeam::strong<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
