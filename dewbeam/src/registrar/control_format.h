/// \file
/// The HTTP interface of a registry for operators and upstreams in one kind of installation.
///
/// A control format only parses requests; the registry decides about them.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string_view>

#include "dewbeam/http"
#include "dewbeam/registry"
#include "dewbeam/routes"

namespace dewbeam::registrar {

/// The purpose of a request.
enum class call_kind {
    unknown,
    announce,       ///< an upstream reports its state
    withdraw,       ///< an upstream has ended permanently
    put_revision,   ///< an operator submits a complete configuration
    read_revision,  ///< an operator reads the current configuration
    drain,          ///< an operator orders that a failure domain gets no new requests
    end_drain,      ///< an operator withdraws that
};

/// A request, classified by method and path.
struct control_call {
    call_kind m_kind = call_kind::unknown;
    upstream_id m_upstream = {};      ///< set for `announce` and `withdraw`
    failure_domain_id m_domain = {};  ///< set for `drain` and `end_drain`
    absl::Status m_fault = {};        ///< why the path's name is invalid; OK if it is valid
};

/// The parsing functions. All are pure and thread-safe.
struct control_format {
    control_call (*m_classify)(const http::request& wanted) = nullptr;

    /// Parses an announcement; the error names the field, its value and what is allowed.
    absl::StatusOr<registry::announcement> (*m_read_announcement)(const upstream_id& name,
                                                                  std::string_view body) = nullptr;

    /// Parses which incarnation is withdrawn; 0 if the request doesn't name one.
    absl::StatusOr<incarnation> (*m_read_withdrawal)(std::string_view body) = nullptr;

    /// Parses and validates a complete configuration; the error lists all validation errors.
    absl::StatusOr<routes::book> (*m_read_book)(std::string_view content) = nullptr;
};

}  // namespace dewbeam::registrar
