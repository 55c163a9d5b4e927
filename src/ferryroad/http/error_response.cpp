#include "ferryroad/http/error_response.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/object.hpp>

namespace ferryroad::http {

response error_response(unsigned status, const error_text& text) {
    boost::json::object fields;
    fields["type"] = text.type;
    fields["code"] = text.code;
    fields["message"] = text.message;
    boost::json::object body;
    body["error"] = std::move(fields);
    response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "application/json");
    answer.body = to_text(body);
    return answer;
}

}  // namespace ferryroad::http
