#include "dewbeam/src/registry/announcement.h"

namespace dewbeam::registry {

absl::Status check_names(const announcement& item)
{
    auto result = check_name("/name", item.m_name.value());
    result.Update(check_name("/service", item.m_service));
    result.Update(check_name("/failure_domain", item.m_failure_domain.value()));
    result.Update(check_name("/software", item.m_software));
    if (item.m_group) {
        result.Update(check_name("/group", item.m_group->m_group));
    }
    return result;
}

}  // namespace dewbeam::registry
