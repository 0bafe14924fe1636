#include "policy/work_class.hpp"

namespace dragonflywell::policy {

work_class get_work_class(const work_traits& traits) noexcept {
    const bool is_repeatable =
        traits.is_idempotent && traits.accepts_cheap_servers && !traits.is_suspect && !traits.was_interrupted;
    return is_repeatable ? work_class::repeatable : work_class::guaranteed;
}

std::string_view get_work_class_name(work_class value) noexcept {
    return value == work_class::repeatable ? "repeatable" : "guaranteed";
}

bool may_use_cheap_server(work_class value, const cheap_share& share, std::uint64_t tokens) noexcept {
    if (value != work_class::repeatable || share.most <= 0) {
        return false;
    }
    const double cheap = static_cast<double>(share.cheap_tokens + tokens);
    const double all = static_cast<double>(share.all_tokens + tokens);
    // The first request of an idle fleet would make up the whole load, so the limit does not apply to it.
    return share.all_tokens == 0 || cheap <= share.most * all;
}

} // namespace dragonflywell::policy
