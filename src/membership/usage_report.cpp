#include "endivelatch/membership/usage_report.hpp"

#include "endivelatch/base/hash.hpp"

namespace endivelatch {

organisation_key key_of(const organisation_id& id)
{
    return organisation_key{static_cast<std::uint32_t>(stable_hash(id.str()))};
}

pool_key key_of(const pool_id& id)
{
    return pool_key{static_cast<std::uint32_t>(stable_hash(id.str()))};
}

} // namespace endivelatch
