// Announced upstreams, revisions, and quorum acknowledgements of leaving upstreams.
#include "dewbeam/registry"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "dewbeam/retry"
#include "dewbeam/revisions"
#include "dewbeam/src/registrar/addresses.h"
#include "dewbeam/src/registrar/announcement_wire.h"
#include "dewbeam/src/registrar/quorum_waits.h"
#include "dewbeam/src/registrar/registry_feed.h"
#include "dewbeam/src/registrar/revision_update.h"
#include "dewbeam/src/registrar/watchers.h"

namespace dewbeam::registry {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

announcement make_announcement(std::uint64_t number, upstream_state state = upstream_state::ready)
{
    announcement result;
    result.m_name = upstream_id("u1");
    result.m_service = "chat";
    result.m_address = {"10.0.0.1", 80};
    result.m_slots = 4;
    result.m_state = state;
    result.m_number = announcement_number(number);
    return result;
}

TEST(registry, tells_news_from_renewals_and_late_ones)
{
    table known;
    const time_point now{};
    EXPECT_EQ(merge(known, make_announcement(1), now), merge_result::changed);
    EXPECT_EQ(merge(known, make_announcement(2), now), merge_result::renewed);
    EXPECT_EQ(merge(known, make_announcement(2), now), merge_result::nothing);
    EXPECT_EQ(merge(known, make_announcement(4, upstream_state::leaving), now),
              merge_result::changed);
    EXPECT_EQ(merge(known, make_announcement(3), now), merge_result::nothing)
        << "sent before it left";
    EXPECT_EQ(known.m_records.begin()->second.m_announced.m_state, upstream_state::leaving);
}

TEST(registry, an_end_holds_for_good_also_before_the_first_announcement)
{
    table known;
    EXPECT_EQ(end_upstream(known, upstream_id("u1"), {}, {}), merge_result::changed);
    EXPECT_EQ(merge(known, make_announcement(9), {}), merge_result::nothing);
    EXPECT_EQ(changes_since(known, 0).front()->m_announced.m_state, upstream_state::gone);
    forget_old(known, time_point(minutes(6)));
    EXPECT_TRUE(known.m_records.empty());
}

TEST(registry, silence_is_news_and_so_is_its_end)
{
    table known;
    merge(known, make_announcement(1), {});
    note_silence(known, time_point(milliseconds(4499)));
    EXPECT_FALSE(known.m_records.begin()->second.m_is_unresponsive);
    note_silence(known, time_point(milliseconds(4500)));
    EXPECT_TRUE(known.m_records.begin()->second.m_is_unresponsive);
    const auto reported = known.m_last_change;
    EXPECT_EQ(merge(known, make_announcement(2), time_point(seconds(5))), merge_result::changed);
    EXPECT_EQ(changes_since(known, reported).size(), 1U);
    EXPECT_EQ(merge_silence(known, make_announcement(1)), merge_result::nothing)
        << "it was heard after that";
    EXPECT_EQ(merge_silence(known, make_announcement(2)), merge_result::changed);
}

announcement announcement_of(std::uint64_t incarnation_number, std::uint64_t number,
                             upstream_state state = upstream_state::ready)
{
    auto result = make_announcement(number, state);
    result.m_incarnation = incarnation(incarnation_number);
    return result;
}

upstream_state state_of(const table& known)
{
    return known.m_records.begin()->second.m_announced.m_state;
}

TEST(registry, a_restarted_upstream_counts_its_announcements_anew)
{
    table known;
    merge(known, announcement_of(1000, 40), {});
    EXPECT_EQ(merge(known, announcement_of(2000, 1), {}), merge_result::changed);
    EXPECT_EQ(merge(known, announcement_of(1000, 41), {}), merge_result::nothing)
        << "sent before it ended";
    EXPECT_EQ(merge(known, announcement_of(2000, 2), {}), merge_result::renewed);
    EXPECT_EQ(merge_silence(known, announcement_of(1000, 99)), merge_result::nothing)
        << "the life before fell silent";
}

TEST(registry, an_end_holds_for_the_incarnation_that_ended_alone)
{
    table known;
    merge(known, announcement_of(1000, 1), {});
    end_upstream(known, upstream_id("u1"), {}, {});
    EXPECT_EQ(merge(known, announcement_of(1000, 2), {}), merge_result::nothing);
    EXPECT_EQ(merge(known, announcement_of(2000, 1), {}), merge_result::changed);
    EXPECT_EQ(state_of(known), upstream_state::ready);
    EXPECT_EQ(end_upstream(known, upstream_id("u1"), incarnation(1000), {}), merge_result::nothing)
        << "an end of the life before, told late";
    EXPECT_EQ(state_of(known), upstream_state::ready);
}

TEST(registry, an_end_of_an_unknown_incarnation_holds_for_what_was_sent_before_it)
{
    table known;
    end_upstream(known, upstream_id("u1"), {}, {});
    EXPECT_EQ(merge(known, announcement_of(1000, 9), time_point(milliseconds(9999))),
              merge_result::nothing);
    EXPECT_EQ(merge(known, announcement_of(2000, 9), time_point(seconds(10))),
              merge_result::changed);
    EXPECT_EQ(state_of(known), upstream_state::ready);
}

RC_GTEST_PROP(registry, registries_that_heard_the_same_know_the_same, (std::uint64_t seed))
{
    random_engine random(seed);
    std::vector<announcement> received;
    for (std::uint64_t i = 0; i < 12; ++i) {
        auto item = announcement_of(uniform_below(random, 2) + 1, uniform_below(random, 6) + 1);
        item.m_name = upstream_id("u" + std::to_string(uniform_below(random, 3)));
        const auto kind = uniform_below(random, 8);
        item.m_state = kind == 0   ? upstream_state::gone
                       : kind == 1 ? upstream_state::leaving
                                   : upstream_state::ready;
        // The sequence number determines the content, since an upstream never reuses a number.
        item.m_state =
            kind > 0 ? (item.m_number.value() > 4 ? upstream_state::leaving : upstream_state::ready)
                     : item.m_state;
        received.push_back(item);
    }
    table first;
    table second;
    for (const auto& item : received) {
        merge(first, item, {});
    }
    std::shuffle(received.begin(), received.end(), random);
    for (const auto& item : received) {
        merge(second, item, {});
        merge(second, item, {});
    }
    RC_ASSERT(first.m_records.size() == second.m_records.size());
    for (const auto& [name, known] : first.m_records) {
        RC_ASSERT(second.m_records.at(name).m_announced.m_state == known.m_announced.m_state);
    }
}

/// An answer to the watch sent at `asked_at`, confirmed `age` before it was given.
wire::WatchNews confirmed_news(std::uint64_t newest, time_point asked_at, time_span age)
{
    wire::Watch watch;
    watch.set_sent_at(static_cast<std::uint64_t>(asked_at.time_since_epoch().count()));
    wire::WatchNews news;
    news.set_newest_revision(newest);
    registrar::put_confirmation(age, watch, news);
    return news;
}

TEST(confirmation, an_answer_that_was_held_up_confirms_nothing_later_than_its_watch)
{
    registrar::confirmation state;
    const time_point asked_at(milliseconds(5000));
    take_confirmation(state, "r1", confirmed_news(3, asked_at, milliseconds(400)),
                      time_point(milliseconds(9000)));
    EXPECT_EQ(state.m_at, time_point(milliseconds(4600)));
    EXPECT_EQ(state.m_registry, "r1");
    EXPECT_TRUE(is_confirmed(state, revisions::revision_number(3), state.m_at));
    EXPECT_FALSE(is_confirmed(state, revisions::revision_number(3), asked_at));
    EXPECT_FALSE(is_confirmed(state, revisions::revision_number(2)));
    EXPECT_TRUE(is_confirmed(state, revisions::revision_number(4)));
}

TEST(confirmation, updates_that_answer_no_watch_confirm_nothing)
{
    registrar::confirmation state;
    const auto now = time_point(milliseconds(9000));
    take_confirmation(state, "r1", confirmed_news(3, {}, milliseconds(1)), now);
    EXPECT_FALSE(is_confirmed(state, revisions::revision_number(3)));
}

TEST(confirmation, a_registry_without_one_confirms_nothing)
{
    wire::Watch watch;
    watch.set_sent_at(1);
    wire::WatchNews news;
    news.set_newest_revision(3);
    registrar::put_confirmation(std::nullopt, watch, news);
    EXPECT_FALSE(news.is_sure());
    registrar::confirmation state;
    take_confirmation(state, "r1", news, time_point(milliseconds(9000)));
    EXPECT_FALSE(is_confirmed(state, revisions::revision_number(3)));
}

TEST(confirmation, an_older_one_never_replaces_a_newer_one)
{
    registrar::confirmation state;
    const auto now = time_point(milliseconds(9000));
    take_confirmation(state, "r1", confirmed_news(3, now, milliseconds(10)), now);
    take_confirmation(state, "r2", confirmed_news(4, now, milliseconds(500)), now);
    EXPECT_EQ(state.m_newest, revisions::revision_number(3));
    take_confirmation(state, "r2", confirmed_news(2, now, milliseconds(1)), now);
    EXPECT_EQ(state.m_newest, revisions::revision_number(3));
    take_confirmation(state, "r2", confirmed_news(4, now, milliseconds(5)), now);
    EXPECT_EQ(state.m_newest, revisions::revision_number(4));
}

TEST(confirmation, registries_of_earlier_versions_confirm_by_being_sure)
{
    wire::WatchNews news;
    news.set_newest_revision(3);
    news.set_is_sure(true);
    registrar::confirmation state;
    const auto now = time_point(milliseconds(9000));
    take_confirmation(state, "r1", news, now);
    EXPECT_TRUE(is_confirmed(state, revisions::revision_number(3), now));
}

TEST(registry_feed, many_gateways_ask_for_loads_less_often)
{
    const auto max_interval = milliseconds(250);
    EXPECT_EQ(registrar::loads_interval(1, max_interval), milliseconds(100));
    EXPECT_EQ(registrar::loads_interval(30, max_interval), milliseconds(180));
    EXPECT_EQ(registrar::loads_interval(420, max_interval), max_interval);
}

// One of three seeds is a registry of another deployment, and it answers first.
TEST(log_choice, a_wrong_seed_is_outvoted)
{
    registrar::log_choice state;
    const time_point now{};
    registrar::record_log(state, "strange", log_id(9), 3, now);
    EXPECT_FALSE(registrar::may_apply_update(state, log_id(9)));
    registrar::record_log(state, "a", log_id(5), 3, now);
    EXPECT_FALSE(registrar::may_apply_update(state, log_id(5)));
    registrar::record_log(state, "b", log_id(5), 3, now);
    EXPECT_EQ(state.m_chosen, log_id(5));
    registrar::record_log(state, "a", log_id(9), 3, now);  // a log once chosen is kept
    EXPECT_TRUE(registrar::may_apply_update(state, log_id(5)));
    EXPECT_FALSE(registrar::may_apply_update(state, log_id(9)));
}

TEST(log_choice, does_not_wait_long_for_seeds_that_are_down)
{
    registrar::log_choice state;
    time_point now{};
    registrar::record_log(state, "a", log_id(5), 3, now);
    now += registrar::log_choice_timeout;
    registrar::record_log(state, "a", log_id(5), 3, now);
    EXPECT_TRUE(registrar::may_apply_update(state, log_id(5)));
}

TEST(log_choice, registries_that_belong_to_no_log_are_taken_at_their_word)
{
    registrar::log_choice state;
    registrar::record_log(state, "a", {}, 1, {});
    EXPECT_TRUE(registrar::may_apply_update(state, {}));
    EXPECT_EQ(state.m_chosen, log_id{});
}

TEST(registry, records_survive_the_wire)
{
    table first;
    auto item = make_announcement(3);
    item.m_group = group_place{"g", 2, rank_id(5), true};
    item.m_incarnation = incarnation(1'796'000'000'000);
    merge(first, item, {});
    wire::AnnouncedUpstream message;
    registrar::to_wire(first.m_records.begin()->second, message);
    table second;
    EXPECT_EQ(registrar::merge(second, message, {}), merge_result::changed);
    EXPECT_EQ(second.m_records.begin()->second.m_announced, item);
    message.set_address("nowhere");
    message.set_sequence(4);
    EXPECT_EQ(registrar::merge(second, message, {}), merge_result::nothing);
}

// Guards against one record of an older registry that keeps receivers from all that comes with it.
TEST(registry, a_record_with_unreadable_text_is_passed_over_and_the_others_are_taken)
{
    const std::string no_text = "caf\xE9";
    wire::Envelope message;
    auto& news = *message.mutable_watch_news();
    const auto add = [&](const std::string& name) -> wire::AnnouncedUpstream& {
        auto& item = *news.add_upstreams();
        item.set_name(name);
        item.set_service("chat");
        item.set_address("10.0.0.1:80");
        item.set_sequence(1);
        return item;
    };
    add("u1");
    add(no_text);
    add(no_text + "2").set_state(wire::AnnouncedUpstream::STATE_GONE);
    add("u2").set_service(no_text);
    add("u3").set_failure_domain(no_text);
    add("u4").set_software(no_text);
    add("u5").set_group(no_text);
    add("u6").set_service(std::string(max_name_bytes + 1, 'x'));
    add("u7\r\nX: y");
    add("u8").set_address(no_text);
    add("u9");
    wire::Envelope received;
    ASSERT_TRUE(received.ParseFromString(message.SerializeAsString()));
    table known;
    for (const auto& item : received.watch_news().upstreams()) {
        registrar::merge(known, item, {});
    }
    EXPECT_EQ(known.m_records.size(), 2U);
    EXPECT_TRUE(known.m_records.contains(upstream_id("u1")));
    EXPECT_TRUE(known.m_records.contains(upstream_id("u9")));
}

TEST(revision_store, the_highest_number_holds_and_the_rest_changes_nothing)
{
    revisions::revision_store store;
    const auto revision = [](std::uint64_t number, const char* content) {
        return revisions::revision{revisions::revision_number(number), content};
    };
    EXPECT_EQ(apply(store, revision(7, "seven")), revisions::revision_result::adopted);
    EXPECT_EQ(apply(store, revision(7, "other")), revisions::revision_result::overtaken);
    EXPECT_EQ(apply(store, revision(3, "three")), revisions::revision_result::overtaken);
    EXPECT_EQ(*store.m_content, "seven");
    EXPECT_EQ(apply(store, revision(20, "twenty")), revisions::revision_result::adopted);
}

TEST(registry_addresses, an_address_is_its_id)
{
    const auto id = registrar::id_of("tcp://10.1.0.43:7340");
    EXPECT_EQ(registrar::address_of(id), "tcp://10.1.0.43:7340");
    EXPECT_NE(id, registrar::id_of("tcp://10.1.0.44:7340"));
    EXPECT_EQ(registrar::id_of("10.1.0.43:7340"), consensus::replica_id());
    EXPECT_EQ(registrar::id_of("tcp://[::1]:7340"), consensus::replica_id());
}

TEST(holds, an_end_is_held_once_enough_voters_answered)
{
    registrar::quorum_wait_table table;
    int recorded = 0;
    int timed_out = 0;
    registrar::quorum_wait waiting;
    waiting.m_needed = 2;
    waiting.m_counted = {"a", "b", "c"};
    waiting.m_deadline = time_point(milliseconds(800));
    waiting.m_done = [&](bool is_recorded) { ++(is_recorded ? recorded : timed_out); };
    table.m_quorum_waits.emplace(1, waiting);
    table.m_quorum_waits.emplace(2, waiting);
    registrar::quorum_wait_calls calls;
    for (const auto* from : {"a", "a", "stranger", "b", "c"}) {
        registrar::note_answer(table, 1, from, calls);
    }
    registrar::note_answer(table, 2, "a", calls);
    registrar::expire(table, time_point(milliseconds(799)), calls);
    registrar::expire(table, time_point(milliseconds(800)), calls);
    for (const auto& call : calls) {
        call();
    }
    EXPECT_EQ(recorded, 1);
    EXPECT_EQ(timed_out, 1);
    EXPECT_TRUE(table.m_quorum_waits.empty());
}

TEST(watchers, a_gateway_is_told_the_loads_of_all_others)
{
    registrar::watcher_table table;
    wire::Watch watch;
    watch.set_is_gateway(true);
    auto& load = *watch.add_loads();
    load.set_upstream("u1");
    load.set_in_flight(3);
    for (const auto* address : {"a", "b", "c"}) {
        registrar::apply_watch(table, {address, ""}, host_id(address), watch, {});
    }
    registrar::apply_watch(table, {"rank agent", ""}, {}, {}, {});
    wire::WatchNews news;
    registrar::put_loads(table, table.m_watchers.at({"a", ""}), news);
    EXPECT_EQ(registrar::loads_of_others(news), (std::map<std::string, std::uint32_t>{{"u1", 6}}));
    EXPECT_EQ(table.m_gateways, 3U);
    registrar::expire(table, time_point(seconds(4)));
    EXPECT_TRUE(table.m_watchers.empty());
    EXPECT_TRUE(table.m_loads.empty());
    EXPECT_EQ(table.m_gateways, 0U);
}

TEST(watchers, a_gateway_that_started_again_counts_once)
{
    registrar::watcher_table table;
    wire::Watch watch;
    watch.set_is_gateway(true);
    auto& load = *watch.add_loads();
    load.set_upstream("u1");
    load.set_in_flight(3);
    for (const auto* connection : {"1", "2", "3"}) {
        registrar::apply_watch(table, {"", connection}, host_id("a"), watch, {});
        EXPECT_EQ(table.m_gateways, 1U);
        EXPECT_EQ(table.m_loads.at("u1"), 3U);
    }
    registrar::apply_watch(table, {"", "4"}, host_id("b"), watch, {});
    registrar::apply_watch(table, {"", "5"}, host_id("a"), {}, {});
    EXPECT_EQ(table.m_gateways, 2U) << "a rank agent of the same host replaces no gateway";
    registrar::forget(table, {"", "3"});
    EXPECT_EQ(table.m_gateways, 1U);
    registrar::apply_watch(table, {"", "6"}, host_id("a"), watch, {});
    EXPECT_EQ(table.m_gateways, 2U);
}

/// A watch of a gateway that knows a number of gateways for so long.
wire::Watch watch_of_gateway(std::uint32_t known, seconds valid)
{
    wire::Watch result;
    result.set_is_gateway(true);
    result.mutable_known_gateways()->set_count(known);
    result.mutable_known_gateways()->set_valid_ms(
        static_cast<std::uint64_t>(std::chrono::milliseconds(valid).count()));
    return result;
}

TEST(watchers, a_registry_that_started_inside_a_cut_learns_how_many_gateways_there_are)
{
    registrar::watcher_table table;
    const time_point start(seconds(100));
    registrar::apply_watch(table, {"", "1"}, host_id("a"), watch_of_gateway(0, seconds(0)), start);
    EXPECT_EQ(table.m_known_gateways.m_highest, 1U);
    registrar::apply_watch(table, {"", "2"}, host_id("b"), watch_of_gateway(31, seconds(60)),
                           start);
    registrar::apply_watch(table, {"", "3"}, host_id("c"), watch_of_gateway(0, seconds(0)),
                           start + seconds(59));
    wire::KnownGateways told;
    registrar::put_known_gateways(table.m_known_gateways, start + seconds(59), told);
    EXPECT_EQ(told.count(), 31U);
    EXPECT_EQ(told.valid_ms(), 1000U);
}

TEST(watchers, a_number_of_gateways_that_is_only_passed_on_expires)
{
    registrar::watcher_table first;
    registrar::watcher_table second;
    time_point now(seconds(100));
    const auto end = now + retry::count_retention + seconds(1);
    const auto pass_on = [&](const registrar::watcher_table& from, registrar::watcher_table& to) {
        auto watch = watch_of_gateway(0, seconds(0));
        registrar::put_known_gateways(from.m_known_gateways, now, *watch.mutable_known_gateways());
        registrar::apply_watch(to, {"", "1"}, host_id("a"), watch, now);
    };
    slow_start::note_count(first.m_known_gateways, 31, now, retry::count_retention);
    for (; now < end; now += seconds(10)) {
        pass_on(first, second);
        pass_on(second, first);
        EXPECT_EQ(first.m_known_gateways.m_highest, now + seconds(1) < end ? 31U : 1U);
    }
    EXPECT_EQ(first.m_known_gateways.m_highest, 1U);
}

TEST(watchers, leases_are_put_off_by_the_time_for_which_the_registry_was_held_up)
{
    registrar::watcher_table table;
    registrar::apply_watch(table, {"a", ""}, {}, {}, {});
    registrar::put_off_leases(table, seconds(3), time_point(seconds(3)));
    registrar::expire(table, time_point(seconds(6)));
    EXPECT_EQ(table.m_watchers.size(), 1U);
    registrar::expire(table, time_point(seconds(7)));
    EXPECT_TRUE(table.m_watchers.empty());
}

TEST(watchers, sums_follow_every_telling_lease_and_loss)
{
    registrar::watcher_table table;
    random_engine random(3);
    std::map<std::string, std::map<std::string, std::uint32_t>> expected;  // by gateway
    for (int round = 0; round < 400; ++round) {
        const auto gateway = "g" + std::to_string(uniform_below(random, 9));
        const link::peer from{gateway, ""};
        if (uniform_below(random, 5) == 0) {
            registrar::forget(table, from);
            expected.erase(gateway);
        }
        else {
            wire::Watch watch;
            watch.set_is_gateway(true);
            auto& reported = expected[gateway];
            reported.clear();
            for (const char* upstream : {"u1", "u2", "u3"}) {
                const auto count = static_cast<std::uint32_t>(uniform_below(random, 4));
                auto& load = *watch.add_loads();
                load.set_upstream(upstream);
                load.set_in_flight(count);
                reported[upstream] = count;
            }
            registrar::apply_watch(table, from, {}, watch, {});
        }
        std::map<std::string, std::uint32_t> sums;
        for (const auto& [name, reported] : expected) {
            for (const auto& [upstream, count] : reported) {
                sums[upstream] += count;
            }
        }
        std::erase_if(sums, [](const auto& item) { return item.second == 0; });
        ASSERT_EQ(table.m_loads, sums) << "round " << round;
        ASSERT_EQ(table.m_gateways, expected.size());
    }
}

TEST(document_fetch, followers_distribute_requests_over_registries)
{
    const std::vector<registrar::document_source> sources{{"a", true}, {"b", true}, {"c", true}};
    std::map<std::string, int> asked;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        registrar::document_fetch state;
        ++asked[registrar::next_request(state, sources, seed, false, {})];
    }
    for (const auto& [address, count] : asked) {
        EXPECT_GT(count, 60) << address;
    }
    EXPECT_EQ(asked.size(), 3U);
}

TEST(document_fetch, another_registry_is_asked_after_a_timeout_or_a_lost_connection)
{
    std::vector<registrar::document_source> sources{{"a", true}, {"b", true}};
    registrar::document_fetch state;
    const auto first = registrar::next_request(state, sources, 1, false, {});
    EXPECT_EQ(registrar::next_request(state, sources, 1, false, time_point(milliseconds(900))), "");
    const auto second =
        registrar::next_request(state, sources, 1, false, time_point(milliseconds(1000)));
    EXPECT_NE(second, "");
    EXPECT_NE(second, first);
    registrar::record_disconnect(state, second);
    EXPECT_EQ(registrar::next_request(state, sources, 1, false, time_point(milliseconds(1001))),
              first);
    registrar::note_answer(state, first, time_point(milliseconds(1200)));
    EXPECT_EQ(registrar::next_request(state, sources, 1, false, time_point(milliseconds(1199))),
              "");
    EXPECT_NE(registrar::next_request(state, sources, 1, false, time_point(milliseconds(1200))),
              "");
}

TEST(revision_news, a_watcher_without_packed_support_gets_the_plain_document)
{
    revisions::revision_store held;
    revisions::apply(held, {revisions::revision_number(3), std::string(5000, 'x')});
    wire::Watch watch;
    watch.set_wants_revision(true);
    registrar::revision_update subject;
    wire::WatchNews plain;
    subject.put(held, time_span::zero(), watch, plain);
    EXPECT_EQ(plain.revision().content(), *held.m_content);
    watch.set_takes_packed_revision(true);
    wire::WatchNews packed;
    subject.put(held, time_span::zero(), watch, packed);
    EXPECT_TRUE(packed.revision().content().empty());
    const auto text = inflate_text(packed.revision().packed_content(), 5000);
    ASSERT_TRUE(text.ok());
    EXPECT_EQ(*text, *held.m_content);
    EXPECT_FALSE(inflate_text(packed.revision().packed_content(), 4999).ok());
}

TEST(registry_feed, many_gateways_ask_registries_that_tell_no_loads_less_often)
{
    const auto min_interval = milliseconds(250);
    EXPECT_EQ(registrar::update_interval(8, min_interval), min_interval);
    EXPECT_EQ(registrar::update_interval(150, min_interval), milliseconds(500));
    EXPECT_EQ(registrar::update_interval(420, min_interval), milliseconds(500));
}

}  // namespace
}  // namespace dewbeam::registry
