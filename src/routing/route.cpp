#include "endivelatch/routing/route.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr std::size_t max_points = 64; // ring points examined for one candidate

/// Collects the candidates of one request.
class selection {
public:
    selection(const target_directory& directory, const route_request& request,
              const route_settings& settings)
        : directory_{directory}, request_{request}, settings_{settings},
          chat_hash_{chat_prefix_hash(request.organisation, request.chat)}
    {
    }

    /// Returns the candidates, best first.
    route_choice run()
    {
        add_warm();
        add_by_hash();
        for (const auto* it : candidates_) {
            choice_.candidates.push_back(it->id);
        }
        return std::move(choice_);
    }

private:
    void add_warm()
    {
        const auto& hint = request_.hint;
        if (!hint) {
            return;
        }
        const target_state* target = nullptr;
        if (directory_.may_be_warm(hint->target, hint->target_run, request_.prefix_hash)) {
            target = directory_.find(hint->target);
        }
        else if (directory_.hands_over(hint->target, hint->target_run)) {
            target = next_place(first_place_position(chat_hash_));
        }
        if (target == nullptr || target->pool != request_.pool) {
            return;
        }
        ++choice_.examined;
        candidates_.push_back(target);
        choice_.reason = route_reason::warm;
        choice_.warm_wait = std::min(settings_.max_warm_wait, worthwhile_wait(*hint));
    }

    /// Returns how long to wait for the hinted target. A prefill elsewhere takes its own time and
    /// delays the other requests of that target as well.
    duration worthwhile_wait(const warm_hint& hint) const
    {
        const std::chrono::duration<double> prefill{hint.prefix_tokens / settings_.prefill_rate};
        return std::chrono::duration_cast<duration>(prefill * settings_.wait_per_prefill);
    }

    /// Adds the places by hash. A chat whose caller keeps hints is found again wherever it runs
    /// and takes the less loaded; any other is found only by its hash and keeps their order.
    void add_by_hash()
    {
        const auto warm = static_cast<std::ptrdiff_t>(candidates_.size());
        const target_state* first = nullptr;
        for (std::uint64_t it = 0; it < settings_.hash_candidates; ++it) {
            const auto* target = next_place(position_of(it));
            if (target == nullptr) {
                break;
            }
            first = it == 0 ? target : first;
            candidates_.push_back(target);
        }
        if (can_be_found()) {
            std::stable_sort(candidates_.begin() + warm, candidates_.end(),
                             [](const target_state* a, const target_state* b) {
                                 return a->in_flight < b->in_flight;
                             });
        }
        if (choice_.reason == route_reason::none && first != nullptr) {
            choice_.reason =
                candidates_.front() == first ? route_reason::rendezvous : route_reason::less_loaded;
        }
    }

    const target_state* next_place(std::uint64_t position)
    {
        return directory_.lookup(request_.pool, position, max_points, [&](const target_state& it) {
            ++choice_.examined;
            return std::find(candidates_.begin(), candidates_.end(), &it) == candidates_.end();
        });
    }

    /// Returns whether the next turn will find the chat wherever it runs now.
    bool can_be_found() const { return request_.keeps_hints || request_.hint.has_value(); }

    /// Returns the ring position of a candidate. Chats that share a prefix share the positions of
    /// its replicas; those that only their own hash can find again keep positions of their own.
    std::uint64_t position_of(std::uint64_t candidate) const
    {
        if (can_be_found() && request_.shared_prefix_hash != 0 && settings_.prefix_replicas != 0) {
            const auto replica = (chat_hash_ + candidate) % settings_.prefix_replicas;
            return combine_hashes(request_.shared_prefix_hash, replica);
        }
        return candidate == 0 ? first_place_position(chat_hash_)
                              : combine_hashes(chat_hash_, candidate);
    }

    const target_directory& directory_;
    const route_request& request_;
    const route_settings& settings_;
    std::uint64_t chat_hash_;
    std::vector<const target_state*> candidates_;
    route_choice choice_;
};

} // namespace

std::uint64_t chat_prefix_hash(const organisation_id& organisation, const chat_id& chat)
{
    return combine_hashes(stable_hash(organisation.str()), stable_hash(chat.str()));
}

std::uint64_t first_place_position(std::uint64_t prefix_hash)
{
    return combine_hashes(prefix_hash, 0);
}

route_choice choose_targets(const target_directory& directory, const route_request& request,
                            const route_settings& settings)
{
    return selection{directory, request, settings}.run();
}

} // namespace endivelatch
