#include "ConfigSource.h"

ConfigSource *
ConfigSource_Create(uint64_t offset, const char *author, Str record,
                    ConfigDocument *document, ConfigSource *authority)
{
    ConfigSource *this = g_new0(ConfigSource, 1);

    this->reference_count = 1;
    this->offset = offset;
    g_strlcpy(this->author, author, sizeof(this->author));
    this->record = Str_ToString(record);
    this->document = document;
    this->authority = ConfigSource_Ref(authority);
    return this;
}

ConfigSource *
ConfigSource_Ref(ConfigSource *this)
{
    if (this != NULL) {
        this->reference_count++;
    }
    return this;
}

/* Iterative, because a chain of authorities may be long. */
void
ConfigSource_Unref(ConfigSource *this)
{
    while (this != NULL && --this->reference_count == 0) {
        ConfigSource *authority = this->authority;

        ConfigDocument_Destroy(this->document);
        g_string_free(this->record, TRUE);
        g_free(this);
        this = authority;
    }
}
