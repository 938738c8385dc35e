#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view deadly_part = "dead";

struct three_routers_with_prompts : testing::Test {
    /// Sends a request with the deadly part and returns the status that the caller got.
    int send_deadly(int router)
    {
        const auto n = std::to_string(++sent);
        const auto id = fleet.send_prompt(router, "deadly" + n,
                                          "c0:500,dead:500,d" + n + ":500,e" + n + ":100");
        return fleet.wait_for_response(id).status;
    }

    bool send_sound(int router)
    {
        const auto n = std::to_string(++sent);
        const auto id =
            fleet.send_prompt(router, "sound" + n, "c0:500,d1" + n + ":500,e" + n + ":100");
        const auto& response = fleet.wait_for_response(id);
        return response.status == 200 && response.is_complete;
    }

    int crashes() const
    {
        int sum = 0;
        for (const auto& it : fleet.replicas) {
            sum += it->crashes();
        }
        return sum;
    }

    serve_fleet fleet{3};
    int sent = 0;
};

// Incident 2026-12-04-prompt-part-crashes-targets, over real processes.
TEST_F(three_routers_with_prompts, a_prompt_part_that_crashes_replicas_is_refused_by_all_routers)
{
    for (const auto& it : fleet.replicas) {
        it->set_deadly_part(std::string{deadly_part});
    }
    for (int n = 0; n < 12; ++n) {
        send_sound(n % 3 + 1);
        send_deadly((n + 1) % 3 + 1);
        run_for(fleet.loop, milliseconds{700});
    }
    EXPECT_LE(crashes(), 5);
    for (int router = 1; router <= 3; ++router) {
        EXPECT_EQ(send_deadly(router), 503);
        EXPECT_TRUE(send_sound(router));
    }
    const auto before = crashes();
    fleet.routers.at(1)->kill();
    fleet.start(1);
    fleet.wait_until_ready();
    run_for(fleet.loop, seconds{3}); // From here on the users' rule counts the router.
    EXPECT_EQ(send_deadly(1), 503);
    EXPECT_TRUE(send_sound(1));
    EXPECT_EQ(crashes(), before);
}

} // namespace
} // namespace endivelatch::serve
