#include "environment_number.hpp"

#include "endivelatch/base/hash.hpp"
#include "net/loopback.hpp"
#include "serve/serve_fleet.hpp"
#include "standins/delayed_calls.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

/// Other seeds: SOAK_FIRST=100 SOAK_COUNT=50 build/tests/soak/test_soak --gtest_filter='silent*'
namespace endivelatch::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the platform for a leaving replica to get no more requests.
constexpr duration drain_time = seconds{2};
/// Routers that know only a part of the fleet at their start watch the store for up to 5 s.
constexpr duration settle_time = seconds{10};
/// A router is in touch if it was not cut off for this long.
constexpr duration stable_time = seconds{3};
/// Requests are sent for this time after the bound.
constexpr duration observed_time = milliseconds{900};
constexpr duration request_interval = milliseconds{40};
constexpr int router_count = 11;
constexpr int rounds = 3;

/// A fleet whose routers are cut off from the store without a sign, in groups that overlap, while
/// replicas leave and return. Routers in touch must not send to a replica that has left.
class silent_store_soak {
public:
    explicit silent_store_soak(std::uint64_t seed) : random_{seed} {}

    void execute()
    {
        run_for(fleet_.loop, settle_time);
        for (int round = 0; round < rounds; ++round) {
            play_round();
        }
    }

    /// Returns the requests that reached a replica too late.
    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t cuts() const { return cuts_; }
    std::size_t requests() const { return sent_; }

private:
    int random_ms(int min, int max)
    {
        const auto range = static_cast<std::uint64_t>(max) - static_cast<std::uint64_t>(min);
        return min + static_cast<int>(random_.below(range + 1));
    }

    /// Cuts up to two thirds of the routers off, in groups, around the moment at which a replica
    /// leaves.
    void play_round()
    {
        const auto groups = 1 + random_.below(3);
        for (std::uint64_t n = 0; n < groups; ++n) {
            const auto size = 1 + random_.below(4);
            std::set<int> group;
            while (group.size() < size) {
                group.insert(1 + static_cast<int>(random_.below(router_count)));
            }
            delays_.after(milliseconds{random_ms(0, 1'500)}, [this, group] { cut(group); });
        }
        run_for(fleet_.loop, milliseconds{random_ms(0, 2'500)});
        leave(random_.below(fleet_.replicas.size()));
        run_for(fleet_.loop, milliseconds{random_ms(3'500, 5'000)});
    }

    void cut(const std::set<int>& group)
    {
        for (const auto router : group) {
            ++cuts_;
            ++cut_count_[router];
            last_cut_[router] = fleet_.loop.now();
            fleet_.silence_store(router);
            delays_.after(milliseconds{random_ms(2'000, 6'000)}, [this, router] {
                last_cut_[router] = fleet_.loop.now();
                if (--cut_count_[router] == 0) {
                    fleet_.restore_store(router);
                }
            });
        }
    }

    bool is_in_touch(int router) const
    {
        const auto count = cut_count_.find(router);
        const auto last = last_cut_.find(router);
        return (count == cut_count_.end() || count->second == 0) &&
               (last == last_cut_.end() || fleet_.loop.now() - last->second > stable_time);
    }

    /// Lets a replica leave and checks the requests that come after the bound.
    void leave(std::uint64_t replica)
    {
        auto& leaving = *fleet_.replicas[replica];
        fleet_.store.put("servers", leaving.id(), fleet_.registration(replica, "draining"));
        run_for(fleet_.loop, drain_time);
        std::vector<std::string> attempts;
        const auto ends_at = fleet_.loop.now() + observed_time;
        while (fleet_.loop.now() < ends_at) {
            for (int router = 1; router <= router_count; ++router) {
                if (is_in_touch(router)) {
                    attempts.push_back("r" + std::to_string(router) + "-" +
                                       std::to_string(++sent_));
                    fleet_.send(router, "/safe/x", attempts.back(), "key", "GET");
                }
            }
            run_for(fleet_.loop, request_interval);
        }
        run_for(fleet_.loop, milliseconds{200});
        for (const auto& it : attempts) {
            if (leaving.runs().contains(it)) {
                violations_.push_back(it + " reached " + leaving.id());
            }
        }
        auto registration = fleet_.registration(replica);
        registration["born"] = registration["born"].get<std::uint64_t>() + ++starts_;
        fleet_.store.put("servers", leaving.id(), registration);
    }

    random_source random_;
    serve::serve_fleet fleet_{router_count, serve::serve_fleet::network_path::own_store_proxies};
    standins::delayed_calls delays_{fleet_.loop};
    std::map<int, int> cut_count_; ///< Overlapping cuts, by router.
    std::map<int, time_point> last_cut_;
    std::vector<std::string> violations_;
    std::size_t cuts_ = 0;
    std::size_t sent_ = 0;
    std::uint64_t starts_ = 0;
};

TEST(silent_store_soak, no_router_in_touch_sends_to_a_replica_that_has_left)
{
    const auto first = environment_number("SOAK_FIRST", 1);
    const auto count = environment_number("SOAK_COUNT", 1);
    for (auto seed = first; seed < first + count; ++seed) {
        silent_store_soak soak{seed};
        soak.execute();
        std::cout << "silent_store seed=" << seed << " cuts=" << soak.cuts()
                  << " requests=" << soak.requests() << " late=" << soak.violations().size()
                  << std::endl;
        for (const auto& it : soak.violations()) {
            ADD_FAILURE() << "seed " << seed << ": " << it;
        }
    }
}

} // namespace
} // namespace endivelatch::soak
