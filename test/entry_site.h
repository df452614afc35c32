/// \file
/// Fixtures for tests of an entry: its settings, and a route for the model `m`.
#pragma once

#include <gtest/gtest.h>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::test {

inline nlohmann::json entry_settings()
{
    using nlohmann::json;
    return {{"threads", 1},
            {"host", "e1"},
            {"failure_domain", "d1"},
            {"burn_file", ""},
            {"answers", {{"most_buffered_bytes", 1024 * 1024}}},
            {"controls", {"127.0.0.1:7000"}},
            {"entries", json::array()},
            {"limits", {{"queued", 100}, {"json_depth", 16}, {"output_tokens", 4096}}}};
}

/// Requests for the model `m` go to the upstreams that are labelled pool=chat.
inline void adopt_chat_route(entry::entry_state& state)
{
    wire::Configuration rules;
    rules.mutable_version()->set_term(1);
    rules.mutable_version()->set_index(1);
    rules.set_document(
        nlohmann::json{{"selectors", {{"chat", {{"when", "model=m"}, {"upstreams", "pool=chat"}}}}}}
            .dump());
    EXPECT_TRUE(state.m_configuration.adopt(rules, true));
}

}  // namespace dewbeam::test
