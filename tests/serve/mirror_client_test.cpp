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

/// A router that answers every question for its copy with one status, after a while.
class answering_router {
public:
    answering_router(event_loop& loop, int status, duration delay)
        : server_{loop,
                  {[this, status, delay](exchange_number id, request_head&&, std::string&&) {
                       ++asked_;
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
    int asked() const { return asked_; }

private:
    request_server server_;
    standins::delayed_calls delays_;
    int asked_ = 0;
};

/// A follower before a store, a watcher that lags behind it, and another router that does not.
struct lagging_watcher : testing::Test {
    lagging_watcher()
    {
        store.put("config", "main", {{"Version", 1}});
        client.start();
        run_until(loop, [&] { return watcher.asked() > 0; });
    }

    event_loop loop;
    standins::store_standin store{loop};
    answering_router watcher{loop, copy_answer::nothing_newer, milliseconds{50}};
    answering_router peer{loop, copy_answer::too_large, duration{}};
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

TEST_F(lagging_watcher, a_large_copy_that_another_router_holds_is_read_from_the_store)
{
    const auto known = client.mirror().revision();
    store.put("config", "main", {{"Version", 2}});
    client.on_newer_copy(peer.address(), store_revision{known.value() + 1});
    run_until(loop, [&] { return client.mirror().revision() > known; });
    EXPECT_GT(peer.asked(), 0);
}

} // namespace
} // namespace endivelatch::serve
