// Helpers to read and write JSON. Internal to src/protocol and platform.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "damasklink/state/Text.h"

namespace damasklink::internal {

using Json = nlohmann::json;

// Returns the JSON in one line. Replaces bytes that are not valid UTF-8.
inline std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Reads typed fields of a JSON object and keeps the first problem.
//
//   FieldReader fields(object);
//   const std::string name = fields.Text("name");
//   if (!fields.Problem().empty()) ...   // "field 'name' is not a string"
//
// A field that is missing, null or of the wrong type reads as an empty value; only the wrong type
// is a problem. The object must outlive the reader.
class FieldReader
{
public:
  explicit FieldReader(const Json& aObject)
    : object(aObject)
  {
  }

  std::string Text(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return "";
    }
    if (!found->is_string()) {
      this->AddProblem(aName, "is not a string");
      return "";
    }
    return found->get<std::string>();
  }

  std::uint64_t Count(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number_unsigned()) {
      this->AddProblem(aName, "is not a non-negative integer");
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  double Number(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number() || found->get<double>() < 0) {
      this->AddProblem(aName, "is not a non-negative number");
      return 0;
    }
    return found->get<double>();
  }

  bool Flag(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return false;
    }
    if (!found->is_boolean()) {
      this->AddProblem(aName, "is not a boolean");
      return false;
    }
    return found->get<bool>();
  }

  // Returns the array, or an empty one.
  const Json& Items(const char* aName)
  {
    static const Json kNone = Json::array();
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return kNone;
    }
    if (!found->is_array()) {
      this->AddProblem(aName, "is not an array");
      return kNone;
    }
    return *found;
  }

  // Returns the object, or an empty one.
  const Json& Object(const char* aName)
  {
    static const Json kNone = Json::object();
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return kNone;
    }
    if (!found->is_object()) {
      this->AddProblem(aName, "is not an object");
      return kNone;
    }
    return *found;
  }

  // Records a problem with a field, unless there is one already.
  void AddProblem(std::string_view aName, std::string_view aProblem)
  {
    if (this->problem.empty()) {
      this->problem = Concat("field '", aName, "' ", aProblem);
    }
  }

  // Returns the first problem, or an empty string.
  const std::string& Problem() const { return this->problem; }

private:
  const Json* Find(const char* aName)
  {
    const auto found = this->object.find(aName);
    return found == this->object.end() || found->is_null() ? nullptr : &*found;
  }

  const Json& object;
  std::string problem;
};

} // namespace damasklink::internal
