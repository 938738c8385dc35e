#pragma once

#include "endivelatch/membership/membership.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// Simulated network of membership instances with packet loss, delay and duplication.
namespace endivelatch {

/// Packet loss, duplication and delay between routers.
struct link_conditions {
    double loss = 0;       ///< Probability for each copy of a packet.
    double duplicates = 0; ///< Probability for each packet.
    duration min_delay{500};
    duration max_delay{2'000};
};

/// Number and encoded size of the packets that a router sent.
struct traffic {
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
};

/// Runs routers on a virtual clock and delivers their packets.
class gossip_net {
public:
    explicit gossip_net(std::uint64_t seed, membership_settings settings = {})
        : settings_{settings}, random_{seed}
    {
    }

    /// Starts a router, or restarts it with a new run.
    void start(std::size_t n, std::size_t domains)
    {
        if (n >= nodes_.size()) {
            nodes_.resize(n + 1);
        }
        auto& it = nodes_[n];
        ++it.run;
        it.domain = n % domains;
        it.router = std::make_unique<membership>(describe(n), settings_, random_());
        std::vector<endpoint> addresses;
        for (std::size_t seed = 0; seed < seeds; ++seed) {
            addresses.push_back(address_of(seed));
        }
        it.router->set_seeds(addresses);
        it.paused_until = time_point{};
        if (configure) {
            configure(*it.router);
        }
        schedule(now_, n);
    }

    /// Delivers the complete member list to each router, as if read from a peer.
    void preload_members()
    {
        gossip_packet packet;
        packet.kind = gossip_kind::page;
        packet.from = router_id{"introducer"};
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            packet.members.push_back({describe(n), refutation_number{}, true});
        }
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            apply_effects(n, nodes_[n].router->handle(packet, {}, now_));
        }
    }

    /// Kills a router without an announcement.
    void kill(std::size_t n) { nodes_[n].router.reset(); }

    /// Suspends a router; its timers and received packets are deferred.
    void pause(std::size_t n, duration length) { nodes_[n].paused_until = now_ + length; }

    bool is_running(std::size_t n) const { return nodes_[n].router != nullptr; }
    membership& router(std::size_t n) { return *nodes_[n].router; }
    std::size_t size() const { return nodes_.size(); }
    time_point now() const { return now_; }
    const traffic& sent(std::size_t n) const { return nodes_[n].sent; }
    static router_id id_of(std::size_t n) { return router_id{"router-" + std::to_string(n)}; }
    std::size_t domain_of(std::size_t n) const { return nodes_[n].domain; }

    /// Advances the virtual clock and handles all events that become due.
    void run(duration length)
    {
        const auto end = now_ + length;
        while (!queue_.empty() && queue_.top().at <= end) {
            const auto it = queue_.top();
            queue_.pop();
            now_ = it.at;
            handle(it);
        }
        now_ = end;
    }

    /// Sends the packets among the effects of a router's call, and passes other effects to
    /// `observe`.
    void apply_effects(std::size_t n, membership_effects effects)
    {
        for (auto& it : effects) {
            if (auto* out = std::get_if<send_packet>(&it)) {
                transmit(n, std::move(*out));
            }
            else if (observe) {
                observe(n, it);
            }
        }
        schedule(std::max(now_, nodes_[n].router->next_timer()), n);
    }

    /// Returns whether all running routers know the actual status of every router.
    bool has_converged() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
            return !it.router || has_correct_view(*it.router);
        });
    }

    link_conditions conditions;
    std::size_t seeds = 3; ///< The first routers serve as seeds for all.
    std::function<bool(std::size_t, std::size_t)> is_partitioned; ///< Of sender and receiver.
    std::function<void(std::size_t, const membership_effect&)> observe;
    std::function<std::size_t(gossip_packet&)> on_send; ///< Returns the encoded size.
    std::function<void(std::size_t, const gossip_packet&)> on_receive; ///< Called before delivery.
    std::function<void(membership&)> configure;                        ///< Called for each new run.

private:
    struct node {
        std::unique_ptr<membership> router;
        std::uint64_t run = 0;
        std::size_t domain = 0;
        time_point paused_until;
        traffic sent;
    };

    /// Delivery of a packet, or a timer if `packet` is null.
    struct scheduled_event {
        time_point at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        std::shared_ptr<const gossip_packet> packet;

        bool operator<(const scheduled_event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static endpoint address_of(std::size_t n)
    {
        return {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250), 7'400};
    }

    member describe(std::size_t n) const
    {
        const auto at = address_of(n);
        const auto domain = std::to_string(nodes_[n].domain);
        constexpr std::uint64_t first_run = 1'764'000'000;
        return {id_of(n),
                incarnation{first_run + nodes_[n].run},
                domain_id{"domain-" + domain},
                region_id{"region-0"},
                member_status::alive,
                at,
                {at.address, 7'401},
                {at.address, 8'080}};
    }

    static std::size_t index_of(const endpoint& it)
    {
        const auto dot = it.address.rfind('.');
        const auto before = it.address.rfind('.', dot - 1);
        return std::stoul(it.address.substr(before + 1)) * 250 +
               std::stoul(it.address.substr(dot + 1));
    }

    void schedule(time_point at, std::size_t n) { queue_.push({at, ++order_, n, n, nullptr}); }

    void transmit(std::size_t from, send_packet out)
    {
        auto& sent = nodes_[from].sent;
        ++sent.packets;
        sent.bytes += on_send ? on_send(out.packet) : 0;
        const auto to = index_of(out.to);
        if (to >= nodes_.size() || (is_partitioned && is_partitioned(from, to))) {
            return;
        }
        const auto packet = std::make_shared<const gossip_packet>(std::move(out.packet));
        const int copies = random_.fraction() < conditions.duplicates ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            if (random_.fraction() >= conditions.loss) {
                queue_.push({now_ + delay(), ++order_, to, from, packet});
            }
        }
    }

    duration delay()
    {
        const auto range = (conditions.max_delay - conditions.min_delay).count() + 1;
        return conditions.min_delay + duration{static_cast<duration::rep>(
                                          random_.below(static_cast<std::uint64_t>(range)))};
    }

    void handle(const scheduled_event& it)
    {
        auto& receiver = nodes_[it.to];
        if (!receiver.router) {
            return;
        }
        if (receiver.paused_until > now_) {
            auto later = it;
            later.at = receiver.paused_until;
            queue_.push(later);
            return;
        }
        if (it.packet) {
            if (on_receive) {
                on_receive(it.to, *it.packet);
            }
            apply_effects(it.to, receiver.router->handle(*it.packet, address_of(it.from), now_));
        }
        else if (receiver.router->next_timer() <= now_) {
            apply_effects(it.to, receiver.router->tick(now_));
        }
    }

    /// Returns whether the router knows the actual status of every router.
    bool has_correct_view(const membership& router) const
    {
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            const auto* seen = router.find(id_of(n));
            const auto believed = seen == nullptr ? member_status::dead : seen->status;
            const auto* running = nodes_[n].router.get();
            const auto expected =
                running == nullptr ? member_status::dead : running->find(id_of(n))->status;
            if (believed != expected) {
                return false;
            }
        }
        return true;
    }

    membership_settings settings_;
    random_source random_;
    std::vector<node> nodes_;
    std::priority_queue<scheduled_event> queue_;
    std::uint64_t order_ = 0;
    time_point now_{std::chrono::hours{1}};
};

} // namespace endivelatch
