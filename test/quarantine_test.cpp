// Suspicions: two deaths convict, records merge in any order, and a quarantine ends.
#include "dewbeam/quarantine"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::quarantine {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr fingerprint content{7};
constexpr time_point start{};

crash_report make_death(const std::string& upstream, time_point at, std::uint64_t life = 1)
{
    return {upstream_id(upstream), incarnation{life}, at, false};
}

TEST(quarantine, second_death_convicts_and_the_end_is_stated)
{
    suspicion_table table;
    EXPECT_EQ(standing_of(table, content, start), standing::clear);
    note_crash(table, content, make_death("u1", start));
    note_crash(table, content, make_death("u1", start + seconds(1)));  // the same death again
    EXPECT_EQ(standing_of(table, content, start + seconds(1)), standing::suspect);
    note_crash(table, content, make_death("u1", start + seconds(2), 2));
    EXPECT_EQ(standing_of(table, content, start + seconds(2)), standing::quarantined);
    const auto end = ends_at(table, content, start + seconds(2));
    EXPECT_EQ(end, start + seconds(2) + minutes(10));
    EXPECT_EQ(standing_of(table, content, end), standing::clear);
    expire(table, end);
    EXPECT_TRUE(table.m_records.empty());
}

TEST(quarantine, running_alone_to_the_end_clears_what_came_before)
{
    suspicion_table table;
    note_crash(table, content, make_death("u1", start));
    EXPECT_TRUE(clear(table, content, start + seconds(1)).has_value());
    EXPECT_EQ(standing_of(table, content, start + seconds(1)), standing::clear);
    note_crash(table, content, make_death("u2", start + seconds(2)));
    EXPECT_EQ(standing_of(table, content, start + seconds(2)), standing::suspect);
    EXPECT_FALSE(clear(table, fingerprint{8}, start).has_value());
}

TEST(quarantine, records_are_bounded_and_the_oldest_goes)
{
    suspicion_table table;
    table.m_options.m_most_records = 10;
    for (std::uint64_t i = 0; i < 100; ++i) {
        note_crash(table, fingerprint{i}, make_death("u", start + seconds(i), i));
    }
    EXPECT_EQ(table.m_records.size(), 10U);
    EXPECT_EQ(standing_of(table, fingerprint{99}, start + seconds(99)), standing::suspect);
}

suspicion random_record(random_engine& random)
{
    suspicion result;
    result.m_content = content;
    suspicion_table table;
    for (std::uint64_t i = uniform_below(random, 5); i > 0; --i) {
        const auto at = start + seconds(uniform_below(random, 20));
        result = note_crash(table, content,
                            make_death("u" + std::to_string(uniform_below(random, 4)), at,
                                       uniform_below(random, 2)));
    }
    if (uniform_below(random, 3) == 0) {
        result = clear(table, content, start + seconds(uniform_below(random, 20))).value_or(result);
    }
    return result;
}

RC_GTEST_PROP(quarantine, merging_in_any_order_and_twice_gives_the_same, (std::uint64_t seed))
{
    random_engine random(seed);
    std::vector<suspicion> records(6);
    for (auto& record : records) {
        record = random_record(random);
    }
    suspicion_table forward;
    suspicion_table backward;
    for (const auto& record : records) {
        merge(forward, record);
    }
    for (auto place = records.rbegin(); place != records.rend(); ++place) {
        merge(backward, *place);
        merge(backward, *place);
    }
    for (const auto& record : records) {
        RC_ASSERT(!merge(forward, record));
    }
    RC_ASSERT(all_records(forward) == all_records(backward));
}

}  // namespace
}  // namespace dewbeam::quarantine
