/// \file
/// How operators and upstreams speak to a registry on one kind of installation.
///
/// The registry decides; a control format only translates.
#pragma once

#include <absl/status/statusor.h>

#include <string_view>

#include "dewbeam/http"
#include "dewbeam/registry"
#include "dewbeam/routes"

namespace dewbeam::registrar {

/// What a call wants.
enum class call_kind {
    unknown,
    announce,       ///< an upstream says where it stands
    withdraw,       ///< an upstream is gone for good
    put_revision,   ///< an operator sends a whole configuration
    read_revision,  ///< an operator reads back what is in force
};

/// A call, told apart by method and path.
struct control_call {
    call_kind m_kind = call_kind::unknown;
    upstream_id m_upstream;  ///< of `announce` and `withdraw`
};

/// The translation. All functions are pure and thread-safe.
struct control_format {
    control_call (*m_classify)(const http::request& wanted) = nullptr;

    /// Reads an announcement; the error names field, value and what is allowed.
    absl::StatusOr<registry::announcement> (*m_read_announcement)(const upstream_id& name,
                                                                  std::string_view body) = nullptr;

    /// Reads which incarnation withdraws; 0 where the call doesn't say.
    absl::StatusOr<incarnation> (*m_read_withdrawal)(std::string_view body) = nullptr;

    /// Reads and checks a whole configuration; the error names every mistake.
    absl::StatusOr<routes::book> (*m_read_book)(std::string_view content) = nullptr;
};

}  // namespace dewbeam::registrar
