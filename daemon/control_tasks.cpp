#include "daemon/control_tasks.hpp"

#include "daemon/claim_task.hpp"
#include "daemon/configuration_task.hpp"
#include "daemon/history_task.hpp"
#include "daemon/report_task.hpp"
#include "daemon/usage_task.hpp"
#include "daemon/zone_control_task.hpp"

namespace dragonflywell::daemon {

std::vector<std::unique_ptr<control_task>> make_control_tasks(const control_task_context& context) {
    std::vector<std::unique_ptr<control_task>> tasks;
    tasks.push_back(std::make_unique<configuration_task>(context));
    tasks.push_back(std::make_unique<claim_task>(context));
    tasks.push_back(std::make_unique<usage_task>(context));
    if (context.settings.platform_usage) {
        tasks.push_back(std::make_unique<report_task>(context));
    }
    tasks.push_back(std::make_unique<zone_control_task>(context));
    tasks.push_back(std::make_unique<history_task>(context));
    return tasks;
}

} // namespace dragonflywell::daemon
