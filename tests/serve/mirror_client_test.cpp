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
    scripted_router(event_loop& loop, const copy_answer& answer, duration delay)
        : server_{loop,
                  {[this, answer, delay](exchange_number id, request_head&&, std::string&&) {
                       ++request_count_;
                       delays_.after(delay, [this, id, answer] {
                           server_.respond(id, answer.status, {}, answer.body);
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
        {[] {}, [](store_era) {}, [this] { return std::vector<endpoint>{peer.address()}; },
         [this] { return std::vector<endpoint>{watcher.address()}; }, [] { return false; },
         [](log_event&&) {}}};
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
        const store_position next{{}, client.mirror().position().revision.next()};
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
        {[] {}, [](store_era) {}, [] { return std::vector<endpoint>{}; },
         [] { return std::vector<endpoint>{}; },
         [] { return false; },
         [this](log_event&& it) { losses += it.name() == "store_lost" ? 1 : 0; }}};
};

// Each change of another kind increases the store's revision, as registrations of routers do at the
// start of a fleet. The watch does not report it, so it has not stalled. While the store was
// regarded as lost, routers copied large configurations from each other.
TEST_F(watching_client, keeps_its_watch_if_a_newer_copy_has_the_same_objects)
{
    const scripted_router peer{loop, newer_copy(false), duration{}};
    announce(peer);
    EXPECT_EQ(losses, 0);
    EXPECT_EQ(store.pending_watches(), 1U);
}

TEST_F(watching_client, restarts_a_watch_that_has_not_reported_the_change_of_a_newer_copy)
{
    const scripted_router peer{loop, newer_copy(true), duration{}};
    announce(peer);
    EXPECT_EQ(losses, 1);
}

/// A mirror client that follows two watchers with a given answer to each query.
struct following_client {
    following_client(const copy_answer& answer, event_loop& on) : loop{&on}
    {
        for (int n = 0; n < 2; ++n) {
            watchers.push_back(std::make_unique<scripted_router>(on, answer, milliseconds{5}));
        }
        store.put("config", "main", {{"Version", 1}});
        client.start();
        run_for(on, milliseconds{1'500});
    }

    event_loop* loop;
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
        {[] {}, [](store_era) {}, [] { return std::vector<endpoint>(124); },
         [this] {
             return std::vector<endpoint>{watchers[0]->address(), watchers[1]->address()};
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

} // namespace
} // namespace endivelatch::serve
