#include "net/loopback.hpp"
#include "serve/serve_fleet.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using standins::store_standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the platform for a configuration to be in force.
constexpr duration apply_time = seconds{2};
/// Calls within the test that a fleet of two routers may make for each second. Each kind has one
/// watch, which waits for seconds in calm and is renewed after a change.
constexpr int max_calls_per_second = 20;

/// Watches of two routers that both read two kinds.
constexpr std::size_t watches = 4;

/// Two routers before a store that comes back from a copy. Revisions of the copy are lower than
/// those that the routers know.
struct store_era_test : testing::Test {
    store_era_test()
    {
        fleet.write_configuration(10, {"kept", "revoked"});
        fleet.wait_until_ready();
        run_until(fleet.loop, [this] { return fleet.store.pending_watches() == watches; });
        fleet.store.make_copy();
        for (const int version : {13, 17, 19}) {
            fleet.write_configuration(version, {"kept", "revoked"});
            run_for(fleet.loop, milliseconds{300});
        }
    }

    void come_back(bool keeps_watches = false)
    {
        fleet.store.restore_copy(keeps_watches);
        fleet.write_configuration(19, {"kept", "revoked"});
    }

    int status(int router, const std::string& attempt, const std::string& key)
    {
        return fleet.send_and_wait(router, "/safe/x", attempt, key).status;
    }

    serve_fleet fleet{2};
};

// The routers ignored every change with a lower revision than that of their copy, so that a key
// stayed valid after it was taken away, and called the store without a pause (review/11).
TEST_F(store_era_test, key_taken_away_after_a_return_from_a_copy_is_refused)
{
    fleet.store.set_mode(store_standin::mode::unavailable);
    run_for(fleet.loop, seconds{1});
    fleet.store.set_mode(store_standin::mode::normal);
    const auto calls = fleet.store.request_count();
    come_back();
    run_for(fleet.loop, seconds{2});
    EXPECT_EQ(status(1, "before", "revoked"), 200);
    fleet.write_configuration(23, {"kept"});
    run_for(fleet.loop, apply_time);
    for (const int router : {1, 2}) {
        const auto number = std::to_string(router);
        EXPECT_EQ(status(router, "after-" + number, "revoked"), 401);
        EXPECT_EQ(status(router, "kept-" + number, "kept"), 200);
    }
    EXPECT_LT(fleet.store.request_count() - calls, 4 * max_calls_per_second);
}

// The watched revision exists again soon, by other changes, so that a watch that outlives the
// return is never told that its history is gone.
TEST_F(store_era_test, is_noticed_though_the_watched_revision_exists_again)
{
    come_back(true);
    for (int version = 20; version < 24; ++version) {
        fleet.write_configuration(version, {"kept", "revoked"});
    }
    run_for(fleet.loop, milliseconds{500});
    fleet.write_configuration(24, {"kept"});
    run_for(fleet.loop, apply_time);
    EXPECT_EQ(status(1, "after-1", "revoked"), 401);
    EXPECT_EQ(status(2, "after-2", "revoked"), 401);
}

// A key that was taken away must not become valid again by the older configuration of the copy.
TEST_F(store_era_test, a_configuration_that_was_in_force_stays_until_a_later_version)
{
    fleet.write_configuration(29, {"kept"});
    run_for(fleet.loop, apply_time);
    EXPECT_EQ(status(1, "before", "revoked"), 401);
    fleet.store.restore_copy();
    run_for(fleet.loop, seconds{1});
    EXPECT_EQ(status(1, "between", "revoked"), 401);
    fleet.write_configuration(31, {"kept", "new"});
    run_for(fleet.loop, apply_time);
    EXPECT_EQ(status(1, "after-1", "new"), 200);
    EXPECT_EQ(status(2, "after-2", "revoked"), 401);
}

// Each return loses what was written since the copy, also within the time that routers allow for
// what the return before had lost.
TEST_F(store_era_test, returns_in_quick_succession_are_all_noticed)
{
    for (int n = 0; n < 4; ++n) {
        come_back();
        run_for(fleet.loop, milliseconds{400});
    }
    fleet.write_configuration(23, {"kept"});
    run_for(fleet.loop, apply_time);
    EXPECT_EQ(status(1, "after-1", "revoked"), 401);
    EXPECT_EQ(status(2, "after-2", "revoked"), 401);
}

} // namespace
} // namespace endivelatch::serve
