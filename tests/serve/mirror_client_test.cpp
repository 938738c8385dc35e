#include "endivelatch/entry/mirror_client.hpp"

#include "net/loopback.hpp"
#include "platform/protocol.hpp"
#include "standins/delayed_calls.hpp"
#include "standins/store_standin.hpp"

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;

/// A router that responds to every request for its copy with a fixed answer after a delay.
class scripted_router {
public:
    scripted_router(event_loop& loop, const copy_answer& answer, duration delay,
                    const http_headers& headers = {})
        : server_{loop,
                  {[this, answer, delay, headers](exchange_number id, request_head&&,
                                                  std::string&&) {
                       ++request_count_;
                       delays_.after(delay, [this, id, answer, headers] {
                           server_.respond(id, answer.status, headers, answer.body);
                       });
                   },
                   [](exchange_number) {},
                   {}}},
          delays_{loop}
    {
        server_.start({"127.0.0.1", 0});
    }

    endpoint address() const { return server_.listening(); }
    int request_count() const { return request_count_; }

private:
    request_server server_;
    standins::delayed_calls delays_;
    int request_count_ = 0;
};

/// A mirror client with a store, a watcher whose copy is older than the store, and a peer whose
/// copy is newer but too large to send.
struct lagging_watcher : testing::Test {
    lagging_watcher()
    {
        store.put("config", "main", {{"Version", 1}});
        client.start();
        run_until(loop, [&] { return watcher.request_count() > 0; });
    }

    event_loop loop;
    standins::store_standin store{loop};
    scripted_router watcher{loop, {copy_answer::nothing_newer, {}}, milliseconds{50}};
    scripted_router peer{loop, {copy_answer::too_large, {}}, duration{}};
    call_client calls{loop};
    mirror_client<platform::protocol> client{
        loop,
        calls,
        object_kind::configuration,
        store.address(),
        mirror_settings{},
        1,
        {[] {}, [](store_era) {}, [] {}, [this] { return std::vector<endpoint>{peer.address()}; },
         [this] {
             return copy_sources{reader_role::follower, {watcher.address()}, {}, true};
         },
         [] { return false; }, [](log_event&&) {}}};
};

TEST_F(lagging_watcher, reads_from_the_store_when_the_newer_copy_of_a_peer_is_too_large)
{
    const auto known = client.mirror().position();
    store.put("config", "main", {{"Version", 2}});
    client.on_newer_copy(peer.address(), {known.era, known.revision.next()});
    run_until(loop, [&] { return client.mirror().position() > known; });
    EXPECT_GT(peer.request_count(), 0);
}

/// A mirror client that watches the store itself, and a peer with a copy.
struct watching_client : testing::Test {
    watching_client()
    {
        store.put("config", "main", {{"Version", 1}});
        client.start();
        run_until(loop, [&] { return store.pending_watches() == 1; });
    }

    /// Returns a whole copy with the client's objects, or with other ones, at a later revision.
    copy_answer newer_copy(bool has_changes) const
    {
        object_page page;
        page.position.revision = client.mirror().position().revision.next();
        page.objects.push_back(client.mirror().objects().begin()->second);
        if (has_changes) {
            page.objects.front().revision = page.position.revision;
        }
        return {copy_answer::whole, platform::protocol::write_page(page)};
    }

    /// Announces the peer's copy and waits until the client has read it.
    void announce(const scripted_router& peer)
    {
        const auto position = client.mirror().position();
        const store_position next{position.era, position.revision.next()};
        client.on_newer_copy(peer.address(), next);
        run_until(loop, [&] { return client.mirror().position() == next; });
    }

    event_loop loop;
    standins::store_standin store{loop};
    call_client calls{loop};
    int losses = 0; ///< Times that the store was regarded as lost.
    mirror_client<platform::protocol> client{
        loop,
        calls,
        object_kind::configuration,
        store.address(),
        mirror_settings{},
        1,
        {[] {}, [](store_era) {}, [] {}, [] { return std::vector<endpoint>{}; },
         [] { return copy_sources{}; }, [] { return false; },
         [this](log_event&& it) { losses += it.name() == "store_lost" ? 1 : 0; }}};
};

// Each change of another kind increases the store's revision, as registrations of routers do at the
// start of a fleet. The watch does not report it, so it has not stalled. While the store was
// regarded as lost, routers copied large configurations from each other.
TEST_F(watching_client, keeps_its_watch_if_a_newer_copy_has_the_same_objects)
{
    const scripted_router peer{loop, newer_copy(false), duration{},
                               write_copy_era(client.mirror().era())};
    announce(peer);
    EXPECT_EQ(losses, 0);
    EXPECT_EQ(store.pending_watches(), 1U);
}

// A router of an earlier version states no era, so its copy may be of a former one.
TEST_F(watching_client, does_not_use_a_copy_without_an_era_if_the_store_states_one)
{
    const scripted_router peer{loop, newer_copy(true), duration{}};
    const auto before = client.mirror().position();
    client.on_newer_copy(peer.address(), {before.era, before.revision.next()});
    run_until(loop, [&] { return peer.request_count() > 0; });
    run_for(loop, milliseconds{50});
    EXPECT_EQ(client.mirror().position(), before);
}

TEST_F(watching_client, restarts_a_watch_that_has_not_reported_the_change_of_a_newer_copy)
{
    const scripted_router peer{loop, newer_copy(true), duration{},
                               write_copy_era(client.mirror().era())};
    announce(peer);
    EXPECT_EQ(losses, 1);
}

/// A mirror client that follows two watchers with a given answer to each query.
struct following_client {
    following_client(const copy_answer& answer, event_loop& on, const http_headers& headers = {},
                     duration delay = milliseconds{5}, reader_role its_role = reader_role::follower)
        : loop{&on}, role{its_role}
    {
        for (int n = 0; n < 2; ++n) {
            watchers.push_back(std::make_unique<scripted_router>(on, answer, delay, headers));
        }
        store.put("config", "main", {{"Version", 1}});
        client.start();
        run_for(on, milliseconds{1'500});
    }

    event_loop* loop;
    reader_role role;
    standins::store_standin store{*loop};
    call_client calls{*loop};
    std::vector<std::unique_ptr<scripted_router>> watchers;
    mirror_client<platform::protocol> client{
        *loop,
        calls,
        object_kind::configuration,
        store.address(),
        mirror_settings{},
        1,
        {[] {}, [](store_era) {}, [] {}, [] { return std::vector<endpoint>(124); },
         [this] {
             return copy_sources{role, {watchers[0]->address(), watchers[1]->address()}, {}, false};
         },
         [] { return false; }, [](log_event&&) {}}};
};

// During an outage 75 followers made two thirds of the billed calls, all of which failed.
TEST(follower, seldom_calls_a_store_that_its_watchers_have_lost)
{
    event_loop loop;
    const following_client fleet{{copy_answer::store_lost, {}}, loop};
    EXPECT_LE(fleet.store.request_count(), 2); // The list, and at most one watch.
    EXPECT_FALSE(fleet.client.mirror().is_connected());
    EXPECT_GT(fleet.watchers[0]->request_count(), 2);
    EXPECT_GT(fleet.watchers[1]->request_count(), 2);
}

TEST(follower, watches_the_store_if_no_router_does)
{
    event_loop loop;
    const following_client fleet{{copy_answer::not_watching, {}}, loop};
    EXPECT_EQ(fleet.store.request_count(), 2);
    EXPECT_EQ(fleet.store.pending_watches(), 1U);
    EXPECT_TRUE(fleet.client.mirror().is_connected());
}

TEST(follower, does_not_call_the_store_while_a_watcher_reaches_it)
{
    event_loop loop;
    const following_client fleet{{copy_answer::nothing_newer, {}}, loop};
    EXPECT_EQ(fleet.store.request_count(), 1);
    EXPECT_TRUE(fleet.client.mirror().is_connected());
}

// The watcher's own connection to the store is silent, so that "nothing newer" says nothing of now.
TEST(follower, reads_the_store_if_its_source_was_confirmed_too_long_ago)
{
    event_loop loop;
    const following_client fleet{{copy_answer::nothing_newer, {}},
                                 loop,
                                 {write_confirmation(std::chrono::seconds{-3})},
                                 milliseconds{50},
                                 reader_role::standby};
    EXPECT_GE(fleet.store.request_count(), 2);
    EXPECT_TRUE(fleet.client.mirror().is_connected());
}

// A store that does not know the kind, as it has no evacuations, has confirmed that there are none.
// Otherwise routers would look for a confirmation all the time.
TEST(follower, an_absent_kind_is_confirmed)
{
    event_loop loop;
    standins::store_standin store{loop};
    store.set_absent("evacuations");
    call_client calls{loop};
    mirror_client<platform::protocol> client{
        loop,
        calls,
        object_kind::evacuations,
        store.address(),
        mirror_settings{.may_be_absent = true},
        1,
        {[] {}, [](store_era) {}, [] {}, [] { return std::vector<endpoint>{}; },
         [] {
             return copy_sources{reader_role::lead, {}, {}, false};
         },
         [] { return false; }, [](log_event&&) {}}};
    client.start();
    run_for(loop, milliseconds{2'500});
    ASSERT_TRUE(client.confirmed_at());
    EXPECT_LT(loop.now() - *client.confirmed_at(), evacuation_confirmation_limits.relay);
    EXPECT_LE(store.request_count(), 4); // One each second.
}

// A source that holds its answers back must not make them look newer.
TEST(follower, counts_the_time_on_the_way_to_the_age_of_a_confirmation)
{
    event_loop loop;
    const following_client fleet{{copy_answer::nothing_newer, {}},
                                 loop,
                                 {write_confirmation(duration{})},
                                 milliseconds{300}};
    ASSERT_TRUE(fleet.client.confirmed_at());
    EXPECT_GE(loop.now() - *fleet.client.confirmed_at(), milliseconds{290});
}

TEST(follower, reads_the_store_in_time_if_its_sources_do_not_answer)
{
    for (const auto role : {reader_role::standby, reader_role::relay}) {
        event_loop loop;
        const following_client fleet{
            {copy_answer::nothing_newer, {}}, loop, {}, std::chrono::seconds{10}, role};
        // The list and the check; a relay also has its own watch before and after the check.
        EXPECT_EQ(fleet.store.request_count(), role == reader_role::relay ? 4 : 2);
        EXPECT_LT(loop.now() - *fleet.client.confirmed_at(), default_confirmation_limits.standby);
    }
}

} // namespace
} // namespace endivelatch::serve
