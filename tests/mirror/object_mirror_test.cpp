#include "endivelatch/mirror/object_mirror.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

mirrored_object object(const std::string& name, std::uint64_t revision)
{
    return {name, store_revision{revision}, "content " + std::to_string(revision)};
}

/// A position of a store that states no era.
store_position at_revision(std::uint64_t revision)
{
    return {{}, store_revision{revision}};
}

object_page page(std::vector<mirrored_object> objects, std::uint64_t revision,
                 bool has_more = false)
{
    return {std::move(objects), has_more, at_revision(revision)};
}

object_changes change(const mirrored_object& it, bool is_deleted)
{
    return {{{it, is_deleted}}, {{}, it.revision}};
}

template <class Effect>
const Effect* find_effect(const mirror_effects& all)
{
    for (const auto& it : all) {
        if (const auto* found = std::get_if<Effect>(&it)) {
            return found;
        }
    }
    return nullptr;
}

/// A mirror with a grace time for removals, and a manual clock.
struct mirror_fixture : testing::Test {
    mirror_fixture() { mirror.start(clock.now()); }

    /// Passes the changes that the follower lacks on to it.
    mirror_effects pass_changes(const object_mirror& from, object_mirror& follower) const
    {
        const auto since = follower.position();
        return follower.merge_peer_copy(from.changes_since(since).value(), since, clock.now());
    }

    /// Returns whether the mirror's objects in use contain the name.
    bool uses(const std::string& name) const
    {
        const auto all = mirror.objects_in_use();
        return std::any_of(all.begin(), all.end(),
                           [&](const auto* it) { return it->name == name; });
    }

    manual_clock clock;
    object_mirror mirror{mirror_settings{.removal_grace = seconds{2}}, 1};
};

TEST_F(mirror_fixture, reads_all_pages_and_watches_from_the_first)
{
    auto effects = mirror.handle_response(page({object("a", 1)}, 5, true), clock.now());
    ASSERT_NE(find_effect<list_objects>(effects), nullptr);
    EXPECT_EQ(find_effect<list_objects>(effects)->after, "a");
    EXPECT_FALSE(mirror.is_synced());
    effects = mirror.handle_response(page({object("b", 2)}, 9), clock.now());
    ASSERT_NE(find_effect<watch_objects>(effects), nullptr);
    // The watch then reports the changes between the two pages.
    EXPECT_EQ(find_effect<watch_objects>(effects)->after, at_revision(5));
    EXPECT_NE(find_effect<mirror_updated>(effects), nullptr);
    EXPECT_EQ(mirror.objects().size(), 2U);
}

TEST_F(mirror_fixture, only_the_first_list_may_be_stale)
{
    object_mirror starting{mirror_settings{.first_list_may_be_stale = true}, 2};
    auto effects = starting.start(clock.now());
    EXPECT_TRUE(find_effect<list_objects>(effects)->allows_stale);
    effects = starting.handle_response(page({object("a", 1)}, 5), clock.now());
    EXPECT_EQ(find_effect<watch_objects>(effects)->after, at_revision(5));
    effects = starting.start(clock.now());
    EXPECT_FALSE(find_effect<list_objects>(effects)->allows_stale);
}

TEST_F(mirror_fixture, a_list_after_expired_history_is_not_stale)
{
    object_mirror starting{mirror_settings{.first_list_may_be_stale = true}, 2};
    starting.start(clock.now());
    const auto effects = starting.handle_history_expired(clock.now());
    EXPECT_FALSE(find_effect<list_objects>(effects)->allows_stale);
}

TEST_F(mirror_fixture, follows_changes_and_ignores_older_ones)
{
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    mirror.handle_response(change(object("a", 3), false), clock.now());
    EXPECT_EQ(mirror.objects().at("a").revision, store_revision{4});
    mirror.handle_response(change(object("a", 3), true), clock.now());
    EXPECT_EQ(mirror.objects().count("a"), 1U);
    const auto effects = mirror.handle_response(change(object("a", 6), true), clock.now());
    EXPECT_EQ(mirror.objects().count("a"), 0U);
    EXPECT_NE(find_effect<mirror_updated>(effects), nullptr);
}

TEST_F(mirror_fixture, changes_in_quick_succession_share_a_watch)
{
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    auto effects = mirror.handle_response(change(object("a", 6), false), clock.now());
    EXPECT_NE(find_effect<mirror_updated>(effects), nullptr);
    EXPECT_EQ(find_effect<watch_objects>(effects), nullptr);
    ASSERT_TRUE(mirror.next_timer());
    EXPECT_LE(*mirror.next_timer() - clock.now(), milliseconds{100});
    clock.advance(*mirror.next_timer() - clock.now());
    effects = mirror.tick(clock.now());
    ASSERT_NE(find_effect<watch_objects>(effects), nullptr);
    EXPECT_EQ(find_effect<watch_objects>(effects)->after, at_revision(6));
}

TEST_F(mirror_fixture, lists_again_when_history_expired_and_drops_missing_objects)
{
    mirror.handle_response(page({object("a", 1), object("b", 2)}, 5), clock.now());
    const auto effects = mirror.handle_history_expired(clock.now());
    ASSERT_NE(find_effect<list_objects>(effects), nullptr);
    mirror.handle_response(page({object("b", 2)}, 9), clock.now());
    EXPECT_EQ(mirror.objects().size(), 1U);
}

TEST_F(mirror_fixture, retries_with_increasing_delays)
{
    mirror.handle_response(page({}, 5), clock.now());
    duration last{};
    for (int i = 0; i < 6; ++i) {
        mirror.handle_call_failure(clock.now());
        const auto wait = *mirror.next_timer() - clock.now();
        EXPECT_GT(wait, duration{});
        EXPECT_LE(wait, milliseconds{1'250});
        last = wait;
        clock.advance(wait);
        EXPECT_NE(find_effect<watch_objects>(mirror.tick(clock.now())), nullptr);
    }
    EXPECT_GE(last, milliseconds{750});
}

TEST_F(mirror_fixture, watches_use_a_short_wait_after_a_failure_until_the_store_responds)
{
    auto effects = mirror.handle_response(page({}, 5), clock.now());
    EXPECT_GE(find_effect<watch_objects>(effects)->wait, seconds{1});
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{1});
    effects = mirror.tick(clock.now());
    ASSERT_NE(find_effect<watch_objects>(effects), nullptr);
    EXPECT_LE(find_effect<watch_objects>(effects)->wait, milliseconds{200});
    effects = mirror.handle_response(object_changes{{}, at_revision(5)}, clock.now());
    EXPECT_GE(find_effect<watch_objects>(effects)->wait, seconds{1});
}

TEST_F(mirror_fixture, keeps_removed_objects_for_the_grace_time_after_an_outage)
{
    mirror.handle_response(page({object("a", 1), object("b", 2)}, 5), clock.now());
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{4});
    mirror.tick(clock.now());
    mirror.handle_response(change(object("a", 6), true), clock.now());
    EXPECT_TRUE(uses("a"));
    EXPECT_EQ(mirror.objects().count("a"), 0U); // The copy itself is that of the store.
    clock.advance(seconds{1});
    mirror.handle_response(change(object("a", 7), false), clock.now());
    mirror.handle_response(change(object("b", 8), true), clock.now());
    EXPECT_TRUE(uses("b"));
    clock.advance(seconds{2});
    const auto effects = mirror.tick(clock.now());
    EXPECT_NE(find_effect<mirror_updated>(effects), nullptr);
    EXPECT_TRUE(uses("a")); // It was added again.
    EXPECT_FALSE(uses("b"));
}

// A target that leaves just after the store's return must not stay in use for a further grace time.
TEST_F(mirror_fixture, the_grace_time_starts_at_the_return_of_the_store)
{
    mirror.handle_response(page({object("a", 1)}, 5), clock.now());
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{4});
    mirror.handle_response(change(object("b", 6), false), clock.now());
    clock.advance(milliseconds{1'400});
    mirror.handle_response(change(object("a", 7), true), clock.now());
    EXPECT_TRUE(uses("a"));
    clock.advance(milliseconds{600});
    mirror.tick(clock.now());
    EXPECT_FALSE(uses("a"));
}

TEST_F(mirror_fixture, merges_only_newer_copies_of_peers)
{
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    EXPECT_TRUE(mirror.merge_peer_copy(page({}, 5), clock.now()).empty());
    EXPECT_EQ(mirror.objects().size(), 1U);
    EXPECT_FALSE(mirror.merge_peer_copy(page({object("a", 7)}, 8), clock.now()).empty());
    EXPECT_EQ(mirror.objects().at("a").revision, store_revision{7});
    EXPECT_EQ(mirror.position(), at_revision(8));
}

TEST_F(mirror_fixture, pauses_grow_during_continuous_changes)
{
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    std::uint64_t revision = 5;
    int watches = 0;
    for (const auto ends_at = clock.now() + seconds{4}; clock.now() < ends_at; ++watches) {
        mirror.handle_response(change(object("a", ++revision), false), clock.now());
        ASSERT_TRUE(mirror.next_timer());
        const auto pause = *mirror.next_timer() - clock.now();
        EXPECT_LE(pause, milliseconds{400});
        clock.advance(pause);
        mirror.tick(clock.now());
    }
    EXPECT_LE(watches, 12); // One every 100 ms would be 40.
    clock.advance(seconds{2});
    mirror.handle_response(change(object("a", ++revision), false), clock.now());
    EXPECT_LE(*mirror.next_timer() - clock.now(), milliseconds{100});
}

TEST_F(mirror_fixture, changes_bring_a_peer_up_to_date)
{
    object_mirror follower{mirror_settings{}, 2};
    const auto start = page({object("a", 1), object("b", 2), object("c", 3)}, 5);
    mirror.handle_response(object_page{start}, clock.now());
    follower.merge_peer_copy(object_page{start}, clock.now());
    mirror.handle_response(change(object("a", 6), false), clock.now());
    mirror.handle_response(change(object("b", 7), true), clock.now());
    mirror.handle_response(change(object("d", 8), false), clock.now());
    const auto changes = mirror.changes_since(follower.position());
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->changes.size(), 3U); // `c` did not change.
    EXPECT_FALSE(pass_changes(mirror, follower).empty());
    EXPECT_EQ(follower.objects(), mirror.objects());
    EXPECT_EQ(follower.position(), mirror.position());
}

TEST_F(mirror_fixture, an_object_added_again_after_removal_is_sent)
{
    object_mirror follower{mirror_settings{}, 2};
    const auto start = page({object("a", 1)}, 5);
    mirror.handle_response(object_page{start}, clock.now());
    follower.merge_peer_copy(object_page{start}, clock.now());
    mirror.handle_response(change(object("a", 6), true), clock.now());
    mirror.handle_response(change(object("a", 7), false), clock.now());
    pass_changes(mirror, follower);
    EXPECT_EQ(follower.objects(), mirror.objects());
}

TEST_F(mirror_fixture, changes_before_the_first_list_are_unknown)
{
    EXPECT_FALSE(mirror.changes_since(store_position{}));
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    EXPECT_FALSE(mirror.changes_since(at_revision(3)));
    EXPECT_TRUE(mirror.changes_since(at_revision(5)));
}

TEST_F(mirror_fixture, removals_missing_from_a_list_are_sent_to_peers)
{
    object_mirror follower{mirror_settings{}, 2};
    const auto start = page({object("a", 1), object("b", 2)}, 5);
    mirror.handle_response(object_page{start}, clock.now());
    follower.merge_peer_copy(object_page{start}, clock.now());
    mirror.handle_history_expired(clock.now());
    mirror.handle_response(page({object("b", 2)}, 9), clock.now());
    pass_changes(mirror, follower);
    EXPECT_EQ(follower.objects(), mirror.objects());
}

TEST_F(mirror_fixture, only_so_many_removals_are_remembered)
{
    const auto last = object_mirror::max_tombstones + 10;
    object_page all = page({}, 2'000);
    for (std::size_t n = 1; n <= last; ++n) {
        all.objects.push_back(object("t" + std::to_string(n), n));
    }
    mirror.handle_response(std::move(all), clock.now());
    for (std::size_t n = 1; n <= last; ++n) {
        mirror.handle_response(change(object("t" + std::to_string(n), 2'000 + n), true),
                               clock.now());
    }
    EXPECT_FALSE(mirror.changes_since(at_revision(2'005)));
    EXPECT_TRUE(mirror.changes_since(at_revision(2'020)));
}

TEST_F(mirror_fixture, removal_after_an_outage_reaches_peers_at_once)
{
    object_mirror follower{mirror_settings{}, 2};
    const auto start = page({object("a", 1), object("b", 2)}, 5);
    mirror.handle_response(object_page{start}, clock.now());
    follower.merge_peer_copy(object_page{start}, clock.now());
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{4});
    mirror.handle_response(change(object("a", 6), true), clock.now());
    pass_changes(mirror, follower);
    EXPECT_TRUE(uses("a"));
    EXPECT_EQ(follower.objects().count("a"), 0U);
    EXPECT_EQ(follower.objects(), mirror.objects());
}

// A watcher that was cut off delayed a removal and passed it on with a revision that a follower of
// two watchers had already reached, so the follower kept using the target (DRAIN on trouble-1 of
// cbsc-endive-grown).
TEST_F(mirror_fixture, follower_of_two_watchers_gets_a_removal_that_one_of_them_delays)
{
    object_mirror other{mirror_settings{.removal_grace = seconds{2}}, 2};
    object_mirror follower{mirror_settings{}, 3};
    const auto start = page({object("a", 1), object("b", 2)}, 5);
    for (auto* it : {&mirror, &other}) {
        it->handle_response(object_page{start}, clock.now());
    }
    follower.merge_peer_copy(object_page{start}, clock.now());
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{4});
    mirror.handle_response(change(object("a", 6), true), clock.now());
    other.handle_response(change(object("a", 6), true), clock.now());
    mirror.handle_response(change(object("b", 7), false), clock.now());
    pass_changes(mirror, follower); // At revision 7.
    clock.advance(seconds{3});
    mirror.tick(clock.now());
    other.handle_response(change(object("b", 7), false), clock.now());
    other.handle_response(change(object("b", 8), false), clock.now());
    pass_changes(other, follower);
    mirror.handle_response(change(object("b", 8), false), clock.now());
    mirror.handle_response(change(object("b", 9), false), clock.now());
    pass_changes(mirror, follower);
    EXPECT_EQ(follower.objects().count("a"), 0U);
    EXPECT_EQ(follower.objects(), mirror.objects());
}

TEST_F(mirror_fixture, a_late_watch_response_does_not_restore_a_removed_object)
{
    mirror.handle_response(page({object("a", 1)}, 5), clock.now());
    mirror.merge_peer_copy(page({object("a", 1)}, 12), clock.now());
    mirror.handle_response(object_changes{{{object("b", 7), false}}, at_revision(9)}, clock.now());
    EXPECT_EQ(mirror.objects().count("b"), 0U);
    EXPECT_EQ(mirror.position(), at_revision(12));
}

TEST_F(mirror_fixture, changes_since_another_revision_are_ignored)
{
    mirror.handle_response(page({object("a", 1)}, 5), clock.now());
    mirror.handle_response(change(object("b", 6), false), clock.now());
    const object_changes since_5{{{object("c", 7), false}}, at_revision(8)};
    EXPECT_TRUE(
        mirror.merge_peer_copy(object_changes{since_5}, at_revision(5), clock.now()).empty());
    EXPECT_EQ(mirror.position(), at_revision(6));
}

TEST_F(mirror_fixture, a_list_of_several_pages_is_not_passed_on_before_the_last_page)
{
    mirror.handle_response(page({object("a", 1)}, 5, true), clock.now());
    mirror.handle_response(page({object("b", 2)}, 9), clock.now());
    EXPECT_FALSE(mirror.is_exact());
    EXPECT_FALSE(mirror.changes_since(at_revision(5)));
    mirror.handle_response(change(object("c", 9), false), clock.now());
    EXPECT_TRUE(mirror.is_exact());
    EXPECT_TRUE(mirror.changes_since(at_revision(9)));
}

TEST_F(mirror_fixture, an_older_list_does_not_replace_a_newer_copy)
{
    mirror.merge_peer_copy(page({object("a", 7)}, 8), clock.now());
    mirror.handle_response(page({object("a", 4)}, 5), clock.now());
    EXPECT_EQ(mirror.objects().at("a").revision, store_revision{7});
    EXPECT_EQ(mirror.position(), at_revision(8));
}

// A page that says that more follow, but names no object, would be read again without end.
TEST(object_mirror, a_page_without_names_that_is_not_the_last_is_read_again_later)
{
    manual_clock clock;
    object_mirror mirror{mirror_settings{}, 1};
    mirror.start(clock.now());
    EXPECT_TRUE(mirror.handle_response(object_page{{}, true, at_revision(5)}, clock.now()).empty());
    EXPECT_FALSE(mirror.is_synced());
    ASSERT_TRUE(mirror.next_timer());
    EXPECT_GT(*mirror.next_timer(), clock.now());
}

// A follower learns from others that the store has returned, before it is connected itself.
TEST_F(mirror_fixture, removals_in_a_peers_copy_during_an_outage_are_delayed_from_its_first_news)
{
    mirror.handle_response(page({object("a", 3), object("b", 4), object("c", 5)}, 5), clock.now());
    mirror.handle_call_failure(clock.now());
    clock.advance(seconds{5});
    mirror.merge_peer_copy(page({object("b", 4), object("c", 5)}, 6), clock.now());
    EXPECT_TRUE(uses("a"));
    clock.advance(milliseconds{1'900});
    mirror.tick(clock.now());
    mirror.merge_peer_copy(page({object("c", 5)}, 7), clock.now());
    EXPECT_TRUE(uses("b"));
    clock.advance(milliseconds{100});
    mirror.tick(clock.now());
    EXPECT_FALSE(uses("a"));
    EXPECT_FALSE(uses("b"));
    mirror.merge_peer_copy(page({}, 8), clock.now());
    EXPECT_FALSE(uses("c"));
}

// The store may not know a kind of which it holds no object.
TEST_F(mirror_fixture, an_absent_kind_has_no_objects)
{
    EXPECT_NE(find_effect<mirror_updated>(mirror.handle_kind_absent(clock.now())), nullptr);
    EXPECT_TRUE(mirror.is_synced());
    EXPECT_TRUE(mirror.is_connected());
    EXPECT_TRUE(mirror.objects().empty());
    EXPECT_EQ(find_effect<mirror_updated>(mirror.handle_kind_absent(clock.now())), nullptr);
    ASSERT_TRUE(mirror.next_timer());
    EXPECT_EQ(*mirror.next_timer(), clock.now() + mirror_settings{}.absent_kind_delay);
    clock.advance(mirror_settings{}.absent_kind_delay);
    ASSERT_NE(find_effect<watch_objects>(mirror.tick(clock.now())), nullptr);

    object_mirror follower{mirror_settings{}, 2};
    follower.start(clock.now());
    follower.handle_kind_absent(clock.now());
    mirror.handle_response(change(object("a", 5), false), clock.now());
    EXPECT_TRUE(uses("a"));
    pass_changes(mirror, follower);
    EXPECT_TRUE(follower.objects().contains("a"));
    mirror.handle_kind_absent(clock.now());
    EXPECT_TRUE(mirror.objects().empty());
    pass_changes(mirror, follower);
    EXPECT_TRUE(follower.objects().empty());
}

} // namespace
} // namespace endivelatch
