#pragma once

#include "membership/gossip_net.hpp"

#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace endivelatch {

/// A protocol check that is disabled to test whether the oracle detects its absence.
enum class mutation { none, no_refutation, no_version_check };

/// Compares the members and summaries that routers report with the published ones, and records
/// violations.
class gossip_oracle {
public:
    /// Subscribes to the effects of the network.
    explicit gossip_oracle(gossip_net& net) : net_{net}
    {
        net.observe = [this](std::size_t n, const membership_effect& it) { check(n, it); };
    }

    /// Publishes the next value of the router; values increase.
    void publish(std::size_t n)
    {
        const auto value = std::to_string(++published_[n]);
        net_.router(n).publish(key, summary_scope::fleet, value);
    }

    /// Clears the reports of a router that restarts; its published values continue to increase.
    void forget_reports(std::size_t n)
    {
        last_run_.erase(last_run_.lower_bound({n, 0}), last_run_.lower_bound({n + 1, 0}));
        last_value_.erase(last_value_.lower_bound({n, 0}), last_value_.lower_bound({n + 1, 0}));
    }

    /// Checks that all running routers have converged; called after a period without faults.
    void check_agreement()
    {
        if (!net_.has_converged()) {
            violations.emplace_back("routers disagree about their members");
        }
        for (std::size_t n = 0; n < net_.size(); ++n) {
            for (std::size_t owner = 0; net_.is_running(n) && owner < net_.size(); ++owner) {
                check_summary(n, owner);
            }
        }
    }

    std::vector<std::string> violations;

private:
    using pair = std::pair<std::size_t, std::size_t>; ///< Observing and observed router.
    inline static const summary_key key{summary_kind::target_load, "t"};

    static std::size_t index_of(const router_id& id)
    {
        return std::stoul(id.str().substr(id.str().find('-') + 1));
    }

    void check(std::size_t n, const membership_effect& effect)
    {
        if (const auto* it = std::get_if<member_changed>(&effect)) {
            auto& last = last_run_[{n, index_of(it->member.id)}];
            if (it->member.run < last) {
                violations.emplace_back("a reported run decreased");
            }
            last = it->member.run;
        }
        const auto* it = std::get_if<summary_changed>(&effect);
        if (it != nullptr && !it->value.empty()) {
            auto& last = last_value_[{n, index_of(it->router)}];
            const auto value = std::stoul(it->value);
            if (value < last) {
                violations.emplace_back("a reported summary decreased");
            }
            last = value;
        }
    }

    void check_summary(std::size_t n, std::size_t owner)
    {
        const auto id = gossip_net::id_of(owner);
        const auto actual = net_.router(n).summaries().find(id, key);
        const auto expected =
            net_.is_running(owner) ? net_.router(owner).summaries().find(id, key) : std::nullopt;
        if (actual != expected) {
            violations.emplace_back("a summary is missing or outdated, or outlived its owner");
        }
    }

    gossip_net& net_;
    std::map<std::size_t, std::uint64_t> published_;
    std::map<pair, incarnation> last_run_;
    std::map<pair, std::uint64_t> last_value_;
};

} // namespace endivelatch
