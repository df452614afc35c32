// The prefix index, the subset and the set to sample from.
#include "dewbeam/routing"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace dewbeam::routing {
namespace {

const std::vector<block_hash> prompt = {101, 202, 303, 404};

TEST(prefix_index, knows_own_dispatches_and_removals)
{
    prefix_index index;
    EXPECT_EQ(index.expected_blocks(0, prompt), 0.0);
    EXPECT_EQ(index.find_holders(prompt).m_count, 0U);
    index.note_dispatch(3, prompt);
    EXPECT_EQ(index.expected_blocks(3, prompt), 4.0);
    EXPECT_EQ(index.expected_blocks(2, prompt), 0.0);
    EXPECT_EQ(index.find_holders(prompt).m_items[0], 3U);
    index.note_event(3, {1, true, {303, 404}});
    EXPECT_EQ(index.expected_blocks(3, prompt), 2.0);
    index.forget(3);
    EXPECT_EQ(index.expected_blocks(3, prompt), 0.0);
}

TEST(prefix_index, a_gap_in_event_numbers_ages_what_came_before_it)
{
    prefix_index index;
    index.set_capacity(0, 100);
    index.note_event(0, {1, false, prompt});
    index.note_event(0, {2, false, {1}});
    EXPECT_EQ(index.expected_blocks(0, prompt), 4.0);
    index.note_event(0, {20, false, {2}});
    const double aged = index.expected_blocks(0, prompt);
    EXPECT_LT(aged, 4.0);
    EXPECT_GT(aged, 0.0);
    index.note_event(0, {200, false, {3}});
    EXPECT_EQ(index.expected_blocks(0, prompt), 0.0);
    EXPECT_EQ(index.expected_blocks(0, {3}), 1.0);
}

TEST(prefix_index, without_events_own_dispatches_push_out_what_is_old)
{
    prefix_index index;
    index.set_capacity(0, 50);
    index.note_dispatch(0, prompt);
    for (block_hash block = 1000; block < 1100; ++block) {
        index.note_dispatch(0, {block});
    }
    EXPECT_EQ(index.expected_blocks(0, prompt), 0.0);
    EXPECT_EQ(index.expected_blocks(0, {1099}), 1.0);
}

RC_GTEST_PROP(prefix_index, never_expects_more_than_was_said, (std::uint64_t seed))
{
    random_engine random(seed);
    prefix_index index({64});  // far too small: everything collides
    std::set<block_hash> said;
    for (int i = 0; i < 300; ++i) {
        const block_hash block = uniform_below(random, 200) + 1;
        index.note_dispatch(0, {block});
        said.insert(block);
        const block_hash asked = uniform_below(random, 400) + 1;
        RC_ASSERT(said.count(asked) == 1U || index.expected_blocks(0, {asked}) == 0.0);
    }
}

TEST(subset, is_stable_and_spreads_over_entries)
{
    std::vector<subset_candidate> all;
    for (upstream_index i = 0; i < 620; ++i) {
        all.push_back({i, upstream_id("u" + std::to_string(i))});
    }
    std::vector<int> uses(620, 0);
    for (int entry = 0; entry < 420; ++entry) {
        const host_id name("entry-" + std::to_string(entry));
        const auto chosen = choose_subset(all, name, 32);
        EXPECT_EQ(chosen.size(), 32U);
        for (const auto index : chosen) {
            ++uses[index];
        }
    }
    EXPECT_GT(*std::min_element(uses.begin(), uses.end()), 5);
    EXPECT_LT(*std::max_element(uses.begin(), uses.end()), 50);
    const auto before = choose_subset(all, host_id("entry-1"), 32);
    all.erase(all.begin() + before[0]);
    const auto after = choose_subset(all, host_id("entry-1"), 32);
    const std::set<upstream_index> kept(after.begin(), after.end());
    for (std::size_t i = 1; i < before.size(); ++i) {
        EXPECT_EQ(kept.count(before[i]), 1U);
    }
}

RC_GTEST_PROP(index_set, behaves_like_a_set, (const std::vector<std::uint8_t>& draws))
{
    index_set subject;
    std::set<upstream_index> model;
    for (const auto draw : draws) {
        const upstream_index item = draw / 2;
        if (draw % 2 == 0) {
            subject.insert(item);
            model.insert(item);
        }
        else {
            subject.erase(item);
            model.erase(item);
        }
        RC_ASSERT(subject.size() == model.size());
        RC_ASSERT(subject.contains(item) == (draw % 2 == 0));
    }
    for (std::size_t i = 0; i < subject.size(); ++i) {
        RC_ASSERT(model.count(subject[i]) == 1U);
    }
}

}  // namespace
}  // namespace dewbeam::routing
