// The configuration store: racing operators, resends, snapshots and foreign bytes.
#include "dewbeam/src/configuration/store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::configuration {
namespace {

change weight_change(const std::string& id, std::uint64_t base, int weight)
{
    return {id, base, {{"workspaces", {{"arusha", {{"weight", weight}}}}}}};
}

TEST(store, racing_operators_get_one_winner_by_name)
{
    store state;
    EXPECT_EQ(apply(state, weight_change("a", 0, 2), {1, 1}).m_status, change_status::accepted);
    const auto lost = apply(state, weight_change("b", 0, 3), {1, 2});
    EXPECT_EQ(lost.m_status, change_status::conflict);
    EXPECT_EQ(lost.m_winner, "a");
    EXPECT_EQ(lost.m_number, 1U);
    EXPECT_EQ(state.m_version, (configuration_version{1, 1}));
}

TEST(store, a_resend_gets_the_same_answer_also_after_later_changes)
{
    store state;
    apply(state, weight_change("a", 0, 2), {1, 1});
    apply(state, weight_change("b", 1, 3), {1, 2});
    const auto again = apply(state, weight_change("a", 0, 2), {2, 9});
    EXPECT_EQ(again.m_status, change_status::accepted);
    EXPECT_EQ(again.m_number, 1U);
    EXPECT_EQ(apply(state, weight_change("a", 0, 7), {2, 10}).m_status, change_status::conflict);
    EXPECT_EQ(state.m_version, (configuration_version{1, 2}));
}

TEST(store, a_wrong_change_is_refused_whole)
{
    store state;
    auto wrong = weight_change("a", 0, 2);
    wrong.m_patch["selectors"]["x"]["class"] = "soon";
    const auto result = apply(state, wrong, {1, 1});
    EXPECT_EQ(result.m_status, change_status::invalid);
    EXPECT_FALSE(result.m_mistakes.empty());
    EXPECT_EQ(state.m_source, nlohmann::json::object());
    EXPECT_EQ(state.m_number, 0U);
}

TEST(store, a_change_that_nests_deeply_is_refused_before_the_log)
{
    std::string text = R"({"id":"a","base":0,"patch":)";
    for (int i = 0; i < 200'000; ++i) {
        text += R"({"a":)";
    }
    text += "1" + std::string(200'001, '}');
    EXPECT_FALSE(decode_change(text).ok());
    EXPECT_FALSE(decode_store(text).ok());
}

RC_GTEST_PROP(store, replicas_agree_and_versions_never_go_back, (std::uint64_t seed))
{
    random_engine random(seed);
    store first;
    store second;
    for (std::uint64_t index = 1; index < 100; ++index) {
        const auto id = std::to_string(uniform_below(random, 60));
        const auto base = first.m_number - std::min(first.m_number, uniform_below(random, 3));
        const auto wanted = weight_change(id, base, 1 + static_cast<int>(random() % 4));
        const auto before = first.m_version;
        const auto result = apply(first, wanted, {1, index});
        apply(second, *decode_change(encode(wanted)), {1, index});
        second = *decode_store(encode(second));
        RC_ASSERT(before <= first.m_version);
        RC_ASSERT((result.m_status == change_status::conflict) == !result.m_winner.empty());
    }
    RC_ASSERT(encode(first) == encode(second));
}

RC_GTEST_PROP(store, decoders_take_any_bytes, (const std::string& bytes, std::uint64_t seed))
{
    random_engine random(seed);
    store state;
    apply(state, weight_change("a", 0, 2), {1, 1});
    for (auto text : {encode(state), encode(weight_change("b", 1, 3)), bytes + "x"}) {
        text[uniform_below(random, text.size())] = static_cast<char>(random());
        if (auto known = decode_store(text); known.ok()) {
            apply(*known, weight_change("c", 1, 4), {2, 1});
        }
        if (const auto known = decode_change(text); known.ok()) {
            apply(state, *known, {2, 2});
        }
    }
}

}  // namespace
}  // namespace dewbeam::configuration
