#include "endivelatch/entry/mirror_client.hpp"

#include "net/loopback.hpp"
#include "platform/protocol.hpp"
#include "standins/delayed_calls.hpp"
#include "standins/store_standin.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;

/// A router that responds to every request for its copy with a fixed status after a delay.
class fixed_status_router {
public:
    fixed_status_router(event_loop& loop, int status, duration delay)
        : server_{loop,
                  {[this, status, delay](exchange_number id, request_head&&, std::string&&) {
                       ++request_count_;
                       delays_.after(delay,
                                     [this, id, status] { server_.respond(id, status, {}, {}); });
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
    fixed_status_router watcher{loop, copy_answer::nothing_newer, milliseconds{50}};
    fixed_status_router peer{loop, copy_answer::too_large, duration{}};
    call_client calls{loop};
    mirror_client<platform::protocol> client{
        loop,
        calls,
        object_kind::configuration,
        store.address(),
        mirror_settings{},
        1,
        {[] {}, [this] { return std::vector<endpoint>{peer.address()}; },
         [this] { return std::vector<endpoint>{watcher.address()}; }, [] { return false; },
         [](log_event&&) {}}};
};

TEST_F(lagging_watcher, reads_from_the_store_when_the_newer_copy_of_a_peer_is_too_large)
{
    const auto known = client.mirror().revision();
    store.put("config", "main", {{"Version", 2}});
    client.on_newer_copy(peer.address(), store_revision{known.value() + 1});
    run_until(loop, [&] { return client.mirror().revision() > known; });
    EXPECT_GT(peer.request_count(), 0);
}

} // namespace
} // namespace endivelatch::serve
