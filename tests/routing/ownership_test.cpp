#include "endivelatch/routing/ownership.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>

namespace endivelatch {
namespace {

constexpr int domains_per_region = 2;

member make_router(int n, member_status status = member_status::alive, int domains = 4)
{
    member it;
    it.id = router_id{"r" + std::to_string(n)};
    it.domain = domain_id{"d" + std::to_string(n % domains)};
    it.region = region_id{"g" + std::to_string(n % domains / domains_per_region)};
    it.status = status;
    return it;
}

target_document make_target(int n, int domains = 4)
{
    target_document it;
    it.id = target_id{"t" + std::to_string(n)};
    it.domain = domain_id{"d" + std::to_string(n % domains)};
    it.region = region_id{"g" + std::to_string(n % domains / domains_per_region)};
    return it;
}

bool is_live(const member& it)
{
    return it.status == member_status::alive || it.status == member_status::suspect;
}

/// Returns the owner by definition, computed from the weights of all live routers.
std::optional<router_id> expected_owner(const target_document& target,
                                        const std::map<int, member>& routers)
{
    for (int scope = 0; scope < 3; ++scope) {
        std::vector<router_id> candidates;
        for (const auto& [n, it] : routers) {
            const bool in_scope = scope == 2 || (scope == 1 && it.region == target.region) ||
                                  it.domain == target.domain;
            if (is_live(it) && in_scope) {
                candidates.push_back(it.id);
            }
        }
        const auto hash_of = [](const router_id& it) { return stable_hash(it.str()); };
        const auto best = rendezvous_first(stable_hash(target.id.str()),
                                           std::span<const router_id>{candidates}, hash_of);
        if (best != no_node) {
            return candidates[best];
        }
    }
    return std::nullopt;
}

/// Returns whether all owners equal `expected_owner`.
bool are_expected_owners(const std::map<target_id, std::optional<router_id>>& owners,
                         const std::vector<target_document>& targets,
                         const std::map<int, member>& routers)
{
    return std::all_of(targets.begin(), targets.end(), [&](const target_document& it) {
        const auto owner = owners.find(it.id);
        const auto known = owner == owners.end() ? std::nullopt : owner->second;
        return known == expected_owner(it, routers);
    });
}

/// Checks that changes start from the known owners, and applies them.
void check_and_apply(std::map<target_id, std::optional<router_id>>& owners,
                     const ownership::changes& all)
{
    for (const auto& it : all) {
        RC_ASSERT(owners[it.target] == it.previous_owner);
        RC_ASSERT(it.previous_owner != it.owner);
        owners[it.target] = it.owner;
    }
}

RC_GTEST_PROP(ownership_fuzz, incremental_owners_equal_recomputed_ones, ())
{
    constexpr int max_routers = 10;
    constexpr int max_targets = 12;
    std::map<int, member> routers;
    std::map<target_id, std::optional<router_id>> owners;
    std::vector<target_document> targets;
    ownership tested;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const auto n = *rc::gen::inRange(0, max_routers);
        const auto status = static_cast<member_status>(*rc::gen::inRange(0, 4));
        if (*rc::gen::inRange(0, 6) == 0) {
            targets.clear();
            const auto count = *rc::gen::inRange(0, max_targets);
            for (int it = 0; it < count; ++it) {
                targets.push_back(make_target(it, *rc::gen::element(3, 4)));
            }
            check_and_apply(owners, tested.set_targets(targets));
        }
        else if (*rc::gen::arbitrary<bool>()) {
            routers[n] = make_router(n, status);
            check_and_apply(owners, tested.set_router(routers[n]));
        }
        else {
            routers.erase(n);
            std::vector<member> all;
            all.reserve(routers.size());
            for (const auto& [key, it] : routers) {
                all.push_back(it);
            }
            check_and_apply(owners, tested.set_routers(all));
        }
        std::size_t owned = 0;
        RC_ASSERT(are_expected_owners(owners, targets, routers));
        for (const auto& it : targets) {
            RC_ASSERT(tested.owner_of(it.id) == owners[it.id]);
        }
        for (int it = 0; it < max_routers; ++it) {
            owned += tested.owned_by(make_router(it).id).size();
        }
        RC_ASSERT(owned == (tested.live_router_count() == 0 ? 0 : targets.size()));
    }
}

TEST(ownership, oracle_detects_a_missing_change)
{
    std::map<int, member> routers{{0, make_router(0)}, {4, make_router(4)}};
    const std::vector<target_document> targets{make_target(0), make_target(1), make_target(4)};
    ownership tested;
    tested.set_targets(targets);
    std::map<target_id, std::optional<router_id>> owners;
    for (const auto& [n, router] : routers) {
        for (const auto& it : tested.set_router(router)) {
            owners[it.target] = it.owner;
        }
    }
    EXPECT_TRUE(are_expected_owners(owners, targets, routers));
    routers[4].status = member_status::dead;
    const auto lost = tested.set_router(routers[4]);
    EXPECT_FALSE(lost.empty());
    EXPECT_FALSE(are_expected_owners(owners, targets, routers));
}

TEST(ownership, moves_only_the_targets_of_a_leaving_router_at_full_size)
{
    constexpr int routers = 1700;
    constexpr int targets = 5300;
    constexpr int domains = 8;
    ownership tested;
    std::vector<member> members;
    std::vector<target_document> documents;
    members.reserve(routers);
    documents.reserve(targets);
    for (int it = 0; it < routers; ++it) {
        members.push_back(make_router(it, member_status::alive, domains));
    }
    for (int it = 0; it < targets; ++it) {
        documents.push_back(make_target(it, domains));
    }
    tested.set_targets(documents);
    tested.set_routers(members);
    const auto owned = tested.owned_by(members[17].id);
    members[17].status = member_status::leaving;
    const auto lost = tested.set_router(members[17]);
    EXPECT_EQ(lost.size(), owned.size());
    members[17].status = member_status::alive;
    EXPECT_EQ(tested.set_router(members[17]).size(), owned.size());
    EXPECT_EQ(tested.owned_by(members[17].id), owned);
}

TEST(ownership, assigns_shards_and_watchers_to_live_routers)
{
    ownership tested;
    EXPECT_FALSE(tested.shard_owner("s").has_value());
    std::vector<member> members;
    members.reserve(8);
    for (int it = 0; it < 8; ++it) {
        members.push_back(make_router(it));
    }
    tested.set_routers(members);
    const auto watchers = tested.select_watchers(domain_id{"d1"}, 1);
    ASSERT_EQ(watchers.size(), 1U);
    EXPECT_EQ(tested.select_watchers(domain_id{"d1"}, 9).size(), 2U);
    EXPECT_TRUE(tested.select_watchers(domain_id{"none"}, 2).empty());
    const auto owner = tested.shard_owner("s").value();
    for (auto& it : members) {
        it.status = it.id == owner ? member_status::dead : member_status::suspect;
    }
    tested.set_routers(members);
    EXPECT_NE(tested.shard_owner("s").value(), owner);
}

} // namespace
} // namespace endivelatch
