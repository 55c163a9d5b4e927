#include "bench/report/report.hpp"
#include "bench/report/rows.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace ferryroad::bench::report {

namespace {

struct plot_size {
    double width = 520;
    double height = 140;
    double axis = 24;  ///< Room below the bars for labels.
};

std::string escape(const std::string& text) {
    std::string escaped;
    for (const char letter : text) {
        switch (letter) {
            case '<':
                escaped += "&lt;";
                break;
            case '&':
                escaped += "&amp;";
                break;
            case '"':
                escaped += "&quot;";
                break;
            default:
                escaped += letter;
        }
    }
    return escaped;
}

std::string time_label(double seconds) {
    std::ostringstream text;
    text.precision(3);
    if (seconds < 1) {
        text << seconds * std::milli::den << " ms";
    } else {
        text << seconds << " s";
    }
    return text.str();
}

/// The time axis that several plots share.
struct time_range {
    double from = 0;
    double to = 0;
};

using times_of = const measure::distribution& (*)(const measure::summary&);

time_range common_range(const std::vector<measure::summary>& runs, times_of times) {
    time_range range;
    for (const measure::summary& run : runs) {
        const auto bins = times(run).bins();
        if (bins.empty()) {
            continue;
        }
        range.from = range.to == 0 ? bins.front().from : std::min(range.from, bins.front().from);
        range.to = std::max(range.to, bins.back().to);
    }
    return range;
}

/// A histogram on a logarithmic time axis.
std::string plot(const measure::distribution& times, const time_range& range) {
    const plot_size size;
    const double span = std::log(range.to / range.from);
    const auto place = [&](double seconds) {
        return size.width * std::log(seconds / range.from) / span;
    };
    std::uint64_t highest = 1;
    const auto bins = times.bins();
    for (const measure::bin& entry : bins) {
        highest = std::max(highest, entry.count);
    }
    std::ostringstream svg;
    svg << "<svg viewBox=\"0 0 " << size.width << ' ' << size.height + size.axis << "\" width=\""
        << size.width << "\" role=\"img\">";
    for (const measure::bin& entry : bins) {
        const double bar =
            size.height * static_cast<double>(entry.count) / static_cast<double>(highest);
        svg << "<rect x=\"" << place(entry.from) << "\" y=\"" << size.height - bar << "\" width=\""
            << std::max(1.0, place(entry.to) - place(entry.from) - 1) << "\" height=\"" << bar
            << "\"><title>" << time_label(entry.from) << " to " << time_label(entry.to) << ": "
            << entry.count << "</title></rect>";
    }
    for (double decade = std::pow(10.0, std::ceil(std::log10(range.from))); decade <= range.to;
         decade *= 10) {
        svg << "<line x1=\"" << place(decade) << "\" x2=\"" << place(decade) << "\" y1=\"0\" y2=\""
            << size.height << "\"/><text x=\"" << place(decade) << "\" y=\""
            << size.height + size.axis / 2 << "\">" << time_label(decade) << "</text>";
    }
    svg << "</svg>";
    return svg.str();
}

void add_plots(std::ostringstream& page, const std::string& heading,
               const std::vector<measure::summary>& runs, times_of times) {
    const time_range range = common_range(runs, times);
    if (range.to <= range.from) {
        return;
    }
    page << "<h2>" << heading << "</h2>\n";
    for (const measure::summary& run : runs) {
        page << "<figure><figcaption>" << escape(run.label) << " (" << times(run).count()
             << ")</figcaption>" << plot(times(run), range) << "</figure>\n";
    }
}

void add_table(std::ostringstream& page, const std::vector<measure::summary>& runs) {
    page << "<table><tr><th></th>";
    for (const measure::summary& run : runs) {
        page << "<th>" << escape(run.label) << "</th>";
    }
    page << "</tr>\n";
    for (const row& line : make_rows(runs)) {
        page << "<tr><th>" << escape(line.measure) << "</th>";
        for (const std::string& value : line.values) {
            page << "<td>" << escape(value) << "</td>";
        }
        page << "</tr>\n";
    }
    page << "</table>\n";
}

constexpr const char* page_style =
    "body{font:15px/1.4 sans-serif;margin:2em;max-width:72em}"
    "table{border-collapse:collapse}th{text-align:left;font-weight:normal;white-space:pre}"
    "td,th{padding:.2em .8em;border-bottom:1px solid #ccc}td{text-align:right}"
    "rect{fill:#35618f}line{stroke:#999;stroke-dasharray:2 3}"
    "text{font-size:10px;text-anchor:middle;fill:#444}figure{margin:1em 0}";

}  // namespace

std::string to_html(const std::string& title, const std::vector<measure::summary>& runs) {
    std::ostringstream page;
    page << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
         << escape(title) << "</title><style>" << page_style << "</style></head><body>\n<h1>"
         << escape(title) << "</h1>\n";
    add_table(page, runs);
    add_plots(page, "Time to first token", runs,
              [](const measure::summary& run) -> const measure::distribution& {
                  return run.first_token;
              });
    add_plots(
        page, "Time between tokens", runs,
        [](const measure::summary& run) -> const measure::distribution& { return run.token_gap; });
    page << "</body></html>\n";
    return page.str();
}

}  // namespace ferryroad::bench::report
