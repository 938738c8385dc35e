#include "endivelatch/mirror/object_mirror.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

store_position at(std::uint64_t era, std::uint64_t revision)
{
    return {store_era{era}, store_revision{revision}};
}

mirrored_object object(const std::string& name, std::uint64_t revision, const std::string& content)
{
    return {name, store_revision{revision}, content};
}

template <class Effect>
bool has_effect(const mirror_effects& all)
{
    return std::any_of(all.begin(), all.end(),
                       [](const auto& it) { return std::holds_alternative<Effect>(it); });
}

/// A mirror with a copy of era 1, and a manual clock.
struct store_era_fixture : testing::Test {
    store_era_fixture()
    {
        mirror.start(clock.now());
        mirror.handle_response(
            object_page{{object("a", 109, "new"), object("b", 108, "b")}, false, at(1, 109)},
            clock.now());
    }

    /// Passes the list of era 2 to the mirror, which lacks `b`.
    mirror_effects read_era_2()
    {
        mirror.read_era(clock.now());
        return mirror.handle_response(object_page{{object("a", 107, "old")}, false, at(2, 107)},
                                      clock.now());
    }

    bool uses(const std::string& name) const
    {
        const auto all = mirror.objects_in_use();
        return std::any_of(all.begin(), all.end(),
                           [&](const auto* it) { return it->name == name; });
    }

    manual_clock clock;
    object_mirror mirror{mirror_settings{}, 1};
};

// Lists and changes of a store that came back from a copy were ignored for their lower revisions.
TEST_F(store_era_fixture, lower_revisions_of_a_later_era_replace_the_copy)
{
    mirror.begin_era(store_era{2}, clock.now());
    EXPECT_TRUE(has_effect<list_objects>(mirror.handle_history_expired(clock.now())));
    EXPECT_TRUE(has_effect<mirror_updated>(read_era_2()));
    EXPECT_EQ(mirror.position(), at(2, 107));
    EXPECT_EQ(mirror.objects().at("a").content, "old");
    const auto changed = object("a", 108, "again");
    mirror.handle_response(object_changes{{{changed, false}}, at(2, 108)}, clock.now());
    EXPECT_EQ(mirror.objects().at("a").content, "again");
}

TEST_F(store_era_fixture, what_the_older_copy_lacks_stays_in_use_until_it_can_be_written_again)
{
    mirror.begin_era(store_era{2}, clock.now());
    read_era_2();
    EXPECT_FALSE(mirror.objects().contains("b"));
    EXPECT_TRUE(uses("b"));
    EXPECT_TRUE(mirror.restored_at());
    clock.advance(milliseconds{1'700});
    mirror.tick(clock.now());
    EXPECT_TRUE(uses("b"));
    clock.advance(milliseconds{100});
    EXPECT_TRUE(has_effect<mirror_updated>(mirror.tick(clock.now())));
    EXPECT_FALSE(uses("b"));
}

TEST_F(store_era_fixture, another_return_extends_the_time_for_what_the_first_had_lost)
{
    mirror.begin_era(store_era{2}, clock.now());
    read_era_2();
    clock.advance(seconds{1});
    mirror.begin_era(store_era{4}, clock.now()); // Era 3 was missed.
    mirror.start(clock.now());
    mirror.handle_response(object_page{{object("a", 107, "old")}, false, at(4, 107)}, clock.now());
    clock.advance(seconds{1});
    mirror.tick(clock.now());
    EXPECT_TRUE(uses("b"));
}

// The watch was sent from a revision of the former era, which has other changes in this one.
TEST_F(store_era_fixture, changes_since_a_revision_of_a_former_era_are_not_applied)
{
    mirror.merge_peer_copy(object_page{{object("a", 107, "old")}, false, at(2, 107)}, clock.now());
    const auto changed = object("c", 111, "c");
    const auto effects =
        mirror.handle_response(object_changes{{{changed, false}}, at(2, 111)}, clock.now());
    EXPECT_TRUE(has_effect<list_objects>(effects));
    EXPECT_EQ(mirror.position(), at(2, 107));
    EXPECT_FALSE(uses("c"));
}

TEST_F(store_era_fixture, pages_of_two_eras_are_not_joined)
{
    mirror.start(clock.now());
    mirror.handle_response(object_page{{object("a", 109, "new")}, true, at(1, 110)}, clock.now());
    const auto effects = mirror.handle_response(
        object_page{{object("c", 105, "c")}, false, at(2, 107)}, clock.now());
    EXPECT_TRUE(has_effect<list_objects>(effects));
    EXPECT_FALSE(mirror.objects().contains("c"));
}

TEST_F(store_era_fixture, an_answer_of_a_former_era_that_was_on_its_way_is_ignored)
{
    mirror.begin_era(store_era{2}, clock.now());
    const auto late = object("late", 110, "late");
    mirror.handle_response(object_changes{{{late, false}}, at(1, 110)}, clock.now());
    EXPECT_FALSE(uses("late"));
    clock.advance(seconds{1});
    EXPECT_TRUE(has_effect<list_objects>(mirror.tick(clock.now())));
}

TEST_F(store_era_fixture, peers_exchange_only_copies_of_the_latest_era)
{
    object_mirror former = mirror;
    mirror.begin_era(store_era{2}, clock.now());
    EXPECT_FALSE(mirror.is_exact()); // Its copy is of era 1.
    read_era_2();
    EXPECT_TRUE(mirror.is_exact());
    const object_page higher{{object("a", 300, "former")}, false, at(1, 300)};
    EXPECT_TRUE(mirror.merge_peer_copy(object_page{higher}, clock.now()).empty());
    EXPECT_FALSE(mirror.changes_since(former.position()));
    const object_page lower{{object("a", 107, "old")}, false, at(2, 107)};
    EXPECT_TRUE(
        has_effect<mirror_updated>(former.merge_peer_copy(object_page{lower}, clock.now())));
    EXPECT_EQ(former.position(), at(2, 107));
}

/// Returns how often the store is called in ten seconds if it gives the same answer to each watch,
/// and the list to each list call.
template <class AnswerWatch>
int calls_in_ten_seconds(object_mirror& mirror, manual_clock& clock, AnswerWatch answer_watch)
{
    int calls = 0;
    auto effects = mirror.start(clock.now());
    const auto end = clock.now() + seconds{10};
    while (clock.now() < end) {
        ++calls;
        if (has_effect<list_objects>(effects)) {
            effects = mirror.handle_response(object_page{{}, false, at(1, 200)}, clock.now());
            continue;
        }
        if (has_effect<watch_objects>(effects)) {
            effects = answer_watch();
        }
        while (!has_effect<list_objects>(effects) && !has_effect<watch_objects>(effects)) {
            clock.advance(std::max(*mirror.next_timer() - clock.now(), duration{1'000}));
            effects = mirror.tick(clock.now());
        }
    }
    return calls;
}

// A store whose watches always end with a discarded history was called without a pause.
TEST_F(store_era_fixture, a_history_that_is_discarded_again_and_again_is_read_ever_more_seldom)
{
    EXPECT_LE(calls_in_ten_seconds(mirror, clock,
                                   [this] { return mirror.handle_history_expired(clock.now()); }),
              40);
}

TEST_F(store_era_fixture, a_watch_that_does_not_wait_is_repeated_ever_more_seldom)
{
    EXPECT_LE(calls_in_ten_seconds(
                  mirror, clock,
                  [this] {
                      return mirror.handle_response(object_changes{{}, at(1, 200)}, clock.now());
                  }),
              40);
}

TEST(store_position, is_equal_after_writing_and_reading)
{
    EXPECT_EQ(to_string(at(0, 107)), "107"); // As written by routers of earlier versions.
    EXPECT_EQ(to_string(at(2, 107)), "107@2");
    for (const auto it : {at(0, 107), at(2, 107)}) {
        EXPECT_EQ(parse_store_position(to_string(it)), it);
    }
    EXPECT_EQ(parse_store_position("x@2"), store_position{});
    EXPECT_EQ(parse_store_position("107@x"), at(0, 107));
    EXPECT_LT(at(1, 300), at(2, 107));
}

} // namespace
} // namespace endivelatch
