#pragma once

#include "endivelatch/platform/object.hpp"

namespace endivelatch {

/// Hands out the ids of platform calls; one source serves all reducers of a router.
class platform_call_id_source {
public:
    /// Returns an id that was not handed out before.
    platform_call_id next()
    {
        last_ = last_.next();
        return last_;
    }

private:
    platform_call_id last_;
};

} // namespace endivelatch
