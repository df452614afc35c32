/// \file
/// Labels: the key and value pairs that operators put on upstreams, requests and workspaces.
#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace dewbeam::configuration {

/// One key and its value.
struct label {
    std::string m_key;
    std::string m_value;

    friend auto operator<=>(const label&, const label&) = default;
};

/// Labels sorted by key, each key once.
class label_set {
public:
    /// Adds a label, or replaces the value of its key.
    void set(std::string_view key, std::string_view value);

    /// The value of `key`, or null where the key is absent.
    [[nodiscard]] const std::string* find(std::string_view key) const;

    [[nodiscard]] auto begin() const { return m_labels.begin(); }
    [[nodiscard]] auto end() const { return m_labels.end(); }
    [[nodiscard]] bool empty() const { return m_labels.empty(); }
    [[nodiscard]] std::size_t size() const { return m_labels.size(); }

    friend bool operator==(const label_set&, const label_set&) = default;

private:
    std::vector<label> m_labels;
};

/// Longest key and longest value, in bytes.
inline constexpr std::size_t longest_label_part = 63;

/// Whether `text` can be a key or a value: letters, digits, `.`, `_`, `-` and `/`; at most 63
/// bytes. A key is not empty; a value may be.
bool is_label_part(std::string_view text);

/// Parses `key=value,key=value`; spaces around the parts are passed over.
absl::StatusOr<label_set> parse_labels(std::string_view text);

/// All of `base`, with the labels of `over` added or replacing.
label_set merge_labels(const label_set& base, const label_set& over);

/// `key=value,key=value`, sorted by key.
std::string to_string(const label_set& labels);

}  // namespace dewbeam::configuration
