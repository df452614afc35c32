/// \file
/// Whole configurations under the operator's own growing number, as a replicated state machine.
///
/// An operator sends the whole document with a number that it counts up itself. The highest number
/// is in force. A document with a number that is not higher is acknowledged and changes nothing, so
/// that a resend after a lost answer, or one overtaken by a newer one, is never an error. The bytes
/// are kept as they came, so that reading back gives what was sent.
///
/// \code
/// revision_store store;
/// apply(store, {revision_number(7), bytes});   // adopted
/// apply(store, {revision_number(7), bytes});   // already held: changes nothing
/// \endcode
#pragma once

#include <memory>
#include <string>

#include "dewbeam/base"

namespace dewbeam::revisions {

/// The operator's number of a document; 0 stands before the first one.
using revision_number = strong<struct revision_tag, std::uint64_t>;

/// A document as an operator sent it.
struct revision {
    revision_number m_number;
    std::string m_content;
};

/// The state: the document with the highest number. The content is shared, since readers keep it.
struct revision_store {
    revision_number m_number;
    std::shared_ptr<const std::string> m_content = std::make_shared<const std::string>();
};

/// What became of a document. Either is an acknowledgement.
enum class revision_result {
    adopted,    ///< it is in force now
    overtaken,  ///< its number is not higher than the one held
};

/// Applies one document, in log order.
revision_result apply(revision_store& state, const revision& wanted);

}  // namespace dewbeam::revisions
