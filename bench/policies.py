"""Compares placement policies: one table over the reports of ``vanillareach load``.

``bench/policies.sh`` plays a scenario once for each policy, with the same requests, and
then runs this module. The bound is a ratio between policies of one run.
"""

import sys
from pathlib import Path

from bench.figures import Figure, report
from vanillareach.core.engine_policies import DEFAULT_POLICY
from vanillareach.emulation.results import read_report

REPORT_FOLDER = Path("build/policies")
# The policy in use must serve at least as many requests in time as the best baseline.
# The margin is the difference between two runs of one policy on a shared machine.
MAX_BASELINE_RATIO = 1.03


def read_reports(folder, scenario):
    """Return the `Report` of each policy by its name."""
    paths = sorted(folder.glob(f"{scenario}.*.json"))
    return {path.name.split(".")[1]: read_report(path) for path in paths}


def mean_in_time_fraction(policy_report):
    """Return the share of requests answered in time, averaged over kinds."""
    return sum(kind.in_time_fraction for kind in policy_report.kinds) / len(
        policy_report.kinds
    )


def format_shares_table(reports_by_policy):
    """Return a table of the shares in time by policy and kind, and their mean."""
    names = [kind.name for kind in next(iter(reports_by_policy.values())).kinds]
    lines = [f"{'policy':16}" + "".join(f"{name:>10}" for name in (*names, "mean"))]
    for policy, policy_report in reports_by_policy.items():
        shares = [kind.in_time_fraction for kind in policy_report.kinds]
        shares.append(mean_in_time_fraction(policy_report))
        lines.append(f"{policy:16}" + "".join(f"{share:10.3f}" for share in shares))
    return "\n".join(lines)


def baseline_figures(scenario, reports_by_policy):
    """Return the figure that compares the best baseline with the policy in use."""
    policy_in_use_share = mean_in_time_fraction(reports_by_policy[DEFAULT_POLICY])
    best_baseline_share = max(
        mean_in_time_fraction(policy_report)
        for policy, policy_report in reports_by_policy.items()
        if policy != DEFAULT_POLICY
    )
    name = f"{scenario}: best baseline's share in time against ours"
    return [
        Figure(
            name, best_baseline_share / policy_in_use_share, "ratio", MAX_BASELINE_RATIO
        )
    ]


def main():
    """Print the tables of all scenarios; exit with 1 if a bound is exceeded."""
    scenarios = sorted(
        {path.name.split(".")[0] for path in REPORT_FOLDER.glob("*.json")}
    )
    all_figures = []
    for scenario in scenarios:
        reports_by_policy = read_reports(REPORT_FOLDER, scenario)
        print(f"{scenario}: share in time")
        print(format_shares_table(reports_by_policy))
        all_figures += baseline_figures(scenario, reports_by_policy)
    sys.exit(report(all_figures))


if __name__ == "__main__":
    main()
