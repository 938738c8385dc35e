#pragma once

#include "endivelatch/base/counters.hpp"
#include "endivelatch/core/effect.hpp"

#include <utility>

namespace endivelatch {

/// Collects the effects of one event and updates the counters.
class outbox {
public:
    explicit outbox(counters& all) : counters_{all} {}

    /// Adds an effect.
    template <class Effect>
    void push(Effect&& e)
    {
        effects_.emplace_back(std::forward<Effect>(e));
    }

    /// Adds a message to a peer; the router fills in the sender, the stamp and the link address.
    void send(const router_id& to, peer_message message)
    {
        peer_envelope envelope;
        envelope.body = std::move(message);
        effects_.emplace_back(send_peer{{}, to, std::move(envelope)});
    }

    /// Adds an event to the log and the time line; the router fills in its name and the stamp.
    void log(log_event e) { effects_.emplace_back(write_log{{{}, {}, std::move(e)}}); }

    /// Increments a counter.
    void count(std::string_view name, std::string_view labels = {})
    {
        counters_.add(name, 1, labels);
    }

    /// Returns the effects collected since the last call.
    router_effects take() { return std::exchange(effects_, {}); }

private:
    counters& counters_;
    router_effects effects_;
};

} // namespace endivelatch
